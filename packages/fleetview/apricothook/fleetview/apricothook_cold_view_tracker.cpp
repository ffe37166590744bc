#include <apricothook/fleetview/apricothook_cold_view_tracker.hpp>

#include <apricothook/fleetview/apricothook_cell_load_report.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

ColdViewTracker::ColdViewTracker(const FleetDirectory &directory, std::vector<Endpoint> seeds,
                                 Endpoint own, Duration entryPause)
    : m_directory(directory)
    , m_seeds(std::move(seeds))
    , m_own(std::move(own))
    , m_entryPause(entryPause)
{
}

ColdTargetSenders ColdViewTracker::review(const ItemReach &items, Instant now)
{
    ColdTargetSenders fleet {{memberHash(m_directory.self())}, ColdView::Alone};
    for (const auto &[id, member] : m_directory.members()) {
        if (!member.info.isLeaving)
            fleet.members.push_back(memberHash(id));
    }
    std::ranges::sort(fleet.members);
    noteMembers(fleet.members, now);
    fleet.view = view(items, now);
    return fleet;
}

void ColdViewTracker::noteMembers(const std::vector<std::uint64_t> &members, Instant now)
{
    if (!std::ranges::includes(m_members, members))
        m_nameAdded = now;
    m_members = members;
}

ColdView ColdViewTracker::view(const ItemReach &items, Instant now)
{
    const bool isFirst = !m_started;
    m_started = m_started.value_or(now);
    const bool stoodStill = now - std::exchange(m_reviewed, now) > PauseThreshold;
    const bool isMain = isMainPart(now);
    if (!isFirst && (stoodStill || !(isMain || items.byAnybody)))
        m_doubtUntil = now + CatchUpTime;
    if (!m_directory.hasDiscoveredFleet(m_seeds, m_own, now))
        return ColdView::Alone;
    if (now < m_doubtUntil || mayHaveStaleEntries(items.byOwnReading, now))
        return ColdView::Doubtful;
    const bool isSettled = now - m_nameAdded >= NameTime;
    return isMain && isSettled ? ColdView::Main : ColdView::Outside;
}

bool ColdViewTracker::mayHaveStaleEntries(bool ownReaches, Instant now) const
{
    const Duration way = ownReaches ? OwnReadingTime : OthersReadingTime;
    return !m_started || now - *m_started <= m_entryPause + way;
}

bool ColdViewTracker::isMainPart(Instant now) const
{
    std::size_t remembered = 1;
    std::size_t live = 1;
    for (const auto &[id, member] : m_directory.members()) {
        if (member.info.isLeaving)
            continue;
        ++remembered;
        live += m_directory.isLive(member, now) ? 1 : 0;
    }
    return m_directory.reachesSeedMajority(m_seeds, m_own, now) && 2 * live > remembered;
}

} // namespace Apricothook
