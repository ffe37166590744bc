#include <apricothook/fleetview/apricothook_cold_outlook.hpp>

#include <apricothook/fleetview/apricothook_cell_report.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

ColdOutlook::ColdOutlook(const FleetDirectory &directory, std::vector<Endpoint> seeds, Endpoint own,
                         Duration entryPause)
    : m_directory(directory)
    , m_seeds(std::move(seeds))
    , m_own(std::move(own))
    , m_entryPause(entryPause)
{
}

ColdFleet ColdOutlook::review(const ItemReach &items, Instant now)
{
    ColdFleet fleet {{memberNumber(m_directory.self())}, ColdView::Alone};
    for (const auto &[id, member] : m_directory.members()) {
        if (!member.brief.isLeaving)
            fleet.members.push_back(memberNumber(id));
    }
    std::ranges::sort(fleet.members);
    noteMembers(fleet.members, now);
    fleet.view = view(items, now);
    return fleet;
}

void ColdOutlook::noteMembers(const std::vector<std::uint64_t> &members, Instant now)
{
    if (!std::ranges::includes(m_members, members))
        m_nameAdded = now;
    m_members = members;
}

ColdView ColdOutlook::view(const ItemReach &items, Instant now)
{
    const bool isFirst = !m_started;
    m_started = m_started.value_or(now);
    const bool stoodStill = now - std::exchange(m_reviewed, now) > StandstillTime;
    const bool isMain = isMainPart(now);
    if (!isFirst && (stoodStill || !(isMain || items.byAnybody)))
        m_doubtUntil = now + CatchUpTime;
    if (!m_directory.knowsFleet(m_seeds, m_own, now))
        return ColdView::Alone;
    if (now < m_doubtUntil || hasOldEntries(items.byOwnReading, now))
        return ColdView::Doubtful;
    const bool isSettled = now - m_nameAdded >= NameTime;
    return isMain && isSettled ? ColdView::Main : ColdView::Outside;
}

bool ColdOutlook::hasOldEntries(bool ownReaches, Instant now) const
{
    const Duration way = ownReaches ? OwnReadingTime : OthersReadingTime;
    return !m_started || now - *m_started <= m_entryPause + way;
}

bool ColdOutlook::isMainPart(Instant now) const
{
    std::size_t remembered = 1;
    std::size_t live = 1;
    for (const auto &[id, member] : m_directory.members()) {
        if (member.brief.isLeaving)
            continue;
        ++remembered;
        live += m_directory.isLive(member, now) ? 1 : 0;
    }
    return m_directory.hearsMostSeeds(m_seeds, m_own, now) && 2 * live > remembered;
}

} // namespace Apricothook
