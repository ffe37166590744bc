#include <apricothook/dispatch/apricothook_freed_slots.hpp>

#include <apricothook/dispatch/apricothook_slot_turns.hpp>

#include <algorithm>

namespace Apricothook {

void FreedSlots::update(std::uint32_t free, SlotChange change, Instant now)
{
    const std::uint32_t known = m_reserved + shared();
    if (free > known) {
        const std::uint32_t added = free - known;
        if (change == SlotChange::OwnRequest)
            m_reserved += added;
        else if (change == SlotChange::MemberReport)
            m_sharedSince.insert(m_sharedSince.end(), added, now);
        else // No report has announced these slots, so there are no turns to wait for.
            m_sharedSince.insert(m_sharedSince.begin(), added, Instant {});
        return;
    }
    // This daemon fills its reserved slots first; other daemons fill those that they know of.
    std::uint32_t removed = known - free;
    if (change == SlotChange::OwnRequest) {
        const std::uint32_t ofReserved = std::min(removed, m_reserved);
        m_reserved -= ofReserved;
        removed -= ofReserved;
    }
    const std::uint32_t ofShared = std::min(removed, shared());
    m_sharedSince.erase(m_sharedSince.begin(), m_sharedSince.begin() + ofShared);
    m_reserved -= removed - ofShared;
    std::erase_if(m_fills, [now](Instant fill) { return fill + SlotTurns::TurnLength <= now; });
    if (change == SlotChange::OwnRequest)
        m_fills.insert(m_fills.end(), ofShared, now);
}

void FreedSlots::recordReport(Instant now)
{
    m_sharedSince.insert(m_sharedSince.end(), m_reserved, now);
    m_reserved = 0;
}

std::vector<Instant> FreedSlots::fillsAfter(Instant since) const
{
    return {std::ranges::upper_bound(m_fills, since), m_fills.end()};
}

std::optional<Instant> FreedSlots::firstSharedSince() const
{
    return m_sharedSince.empty() ? std::nullopt : std::optional(m_sharedSince.front());
}

} // namespace Apricothook
