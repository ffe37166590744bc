#include <apricothook/fleetview/apricothook_cold_view_tracker.hpp>

#include <apricothook/fleetview/apricothook_cell_load_report.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

ColdViewTracker::ColdViewTracker(const FleetDirectory &directory, std::vector<Endpoint> seeds,
                                 Endpoint own, Duration entryInterval)
    : m_directory(directory)
    , m_seeds(std::move(seeds))
    , m_own(std::move(own))
    , m_entryInterval(entryInterval)
{
}

ColdTargetSenders ColdViewTracker::review(const ItemReachability &items, Instant now)
{
    ColdTargetSenders fleet {{memberHash(m_directory.self())}, ColdView::Alone};
    for (const auto &[id, member] : m_directory.members()) {
        if (!member.info.isLeaving)
            fleet.members.push_back(memberHash(id));
    }
    std::ranges::sort(fleet.members);
    updateMembers(fleet.members, now);
    fleet.view = view(items, now);
    return fleet;
}

void ColdViewTracker::updateMembers(const std::vector<std::uint64_t> &members, Instant now)
{
    if (!std::ranges::includes(m_members, members))
        m_lastMemberAdded = now;
    m_members = members;
}

ColdView ColdViewTracker::view(const ItemReachability &items, Instant now)
{
    const bool isFirst = !m_started;
    m_started = m_started.value_or(now);
    const bool wasPaused = now - std::exchange(m_lastReview, now) > PauseThreshold;
    const bool isMain = isMainPartition(now);
    if (!isFirst && (wasPaused || !(isMain || items.anyReachable)))
        m_doubtfulUntil = now + CatchUpTime;
    if (!m_directory.hasDiscoveredFleet(m_seeds, m_own, now))
        return ColdView::Alone;
    if (now < m_doubtfulUntil || mayHaveStaleEntries(items.ownReachable, now))
        return ColdView::Doubtful;
    const bool isSettled = now - m_lastMemberAdded >= MembershipSettlingTime;
    return isMain && isSettled ? ColdView::Main : ColdView::Outside;
}

bool ColdViewTracker::mayHaveStaleEntries(bool readsAtSource, Instant now) const
{
    const Duration latency = readsAtSource ? DirectReadLatency : RelayedReadLatency;
    return !m_started || now - *m_started <= m_entryInterval + latency;
}

bool ColdViewTracker::isMainPartition(Instant now) const
{
    std::size_t known = 1;
    std::size_t live = 1;
    for (const auto &[id, member] : m_directory.members()) {
        if (member.info.isLeaving)
            continue;
        ++known;
        live += m_directory.isLive(member, now) ? 1 : 0;
    }
    return m_directory.reachesSeedMajority(m_seeds, m_own, now) && 2 * live > known;
}

} // namespace Apricothook
