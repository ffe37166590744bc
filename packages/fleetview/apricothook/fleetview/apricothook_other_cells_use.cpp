#include <apricothook/fleetview/apricothook_other_cells_use.hpp>

#include <algorithm>

namespace Apricothook {

void OtherCellsUse::note(std::uint32_t cell, const std::vector<CustomerRate> &rates, Instant now)
{
    m_cells[cell] = {rates, now};
}

void OtherCellsUse::forget(std::uint32_t cells, Duration limit, Instant now)
{
    std::erase_if(m_cells, [&](const auto &entry) {
        return entry.first >= cells || now - entry.second.heard > limit;
    });
}

std::vector<UseElsewhere> OtherCellsUse::count(const std::vector<RecentUse> &own,
                                               const CellBalance &balance, double seconds) const
{
    std::map<std::uint64_t, UseElsewhere> uses;
    for (const auto &[cell, told] : m_cells) {
        for (const CustomerRate &rate : told.rates)
            uses[rate.customer].told += static_cast<double>(rate.unitsPerSecond) * seconds;
    }
    const bool standsForOthers = balance.own >= FewestDaemons;
    const double part = standsForOthers ? OwnPart * balance.others / balance.own : 0;
    for (const RecentUse &use : own) {
        uses[use.customer].part = part;
        uses[use.customer].fresh = part * static_cast<double>(use.fresh);
        // No more than summaries can be late by: where callers don't spread evenly, the others
        // never tell what was counted for them.
        uses[use.customer].mostUntold = UntoldWindows * part * static_cast<double>(use.inWindow);
    }
    std::vector<UseElsewhere> counted;
    for (auto &[customer, use] : uses) {
        use.customer = customer;
        counted.push_back(use);
    }
    return counted;
}

} // namespace Apricothook
