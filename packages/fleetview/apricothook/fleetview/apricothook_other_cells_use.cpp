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

std::vector<CustomerRate> OtherCellsUse::estimate(const std::vector<CustomerRate> &ownRates,
                                                  const CellBalance &balance) const
{
    std::map<std::uint64_t, std::uint64_t> units;
    for (const auto &[cell, told] : m_cells) {
        for (const CustomerRate &rate : told.rates)
            units[rate.customer] += rate.unitsPerSecond;
    }
    if (balance.own >= FewestDaemons) {
        const double others = OwnPart * balance.others / balance.own;
        for (const CustomerRate &own : ownRates) {
            std::uint64_t &rate = units[own.customer];
            const double expected = static_cast<double>(own.unitsPerSecond) * others;
            rate = std::max(rate, static_cast<std::uint64_t>(expected));
        }
    }
    std::vector<CustomerRate> rates;
    rates.reserve(units.size());
    for (const auto &[customer, rate] : units)
        rates.push_back({customer, rate});
    return rates;
}

} // namespace Apricothook
