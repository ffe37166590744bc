#include <apricothook/fleetview/apricothook_cold_outlook.hpp>

#include <apricothook/fleetview/apricothook_cell_report.hpp>

#include <algorithm>
#include <set>
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

ColdFleet ColdOutlook::review(const ItemOutlook &items, Instant now)
{
    ColdFleet fleet {{memberNumber(m_directory.self())}, view(items, now)};
    for (const auto &[id, member] : m_directory.members()) {
        if (!member.brief.isLeaving)
            fleet.members.push_back(memberNumber(id));
    }
    std::ranges::sort(fleet.members);
    return fleet;
}

ColdView ColdOutlook::view(const ItemOutlook &items, Instant now)
{
    const bool isFirst = !m_started;
    m_started = m_started.value_or(now);
    const bool stoodStill = now - std::exchange(m_reviewed, now) > StandstillTime;
    const bool isMain = isMainPart(now);
    if (!isFirst && (stoodStill || !(isMain || items.someReach)))
        m_doubtUntil = now + CatchUpTime;
    if (!m_directory.knowsFleet(m_seeds, m_own, now))
        return ColdView::Alone;
    const bool hasOldEntries
        = !items.knowsRemovals && now - *m_started <= EntryPauses * m_entryPause;
    if (now < m_doubtUntil || hasOldEntries)
        return ColdView::Doubtful;
    return isMain ? ColdView::Main : ColdView::Outside;
}

bool ColdOutlook::isMainPart(Instant now) const
{
    std::size_t remembered = 1;
    std::size_t live = 1;
    std::set<Endpoint> heard {m_own};
    for (const auto &[id, member] : m_directory.members()) {
        if (member.brief.isLeaving)
            continue;
        ++remembered;
        if (!m_directory.isLive(member, now))
            continue;
        ++live;
        heard.insert(member.brief.beaconAddress);
    }
    const auto heardSeeds = static_cast<std::size_t>(std::ranges::count_if(
        m_seeds, [&heard](const Endpoint &seed) { return heard.contains(seed); }));
    const bool hearsSeeds = m_seeds.empty() || 2 * heardSeeds > m_seeds.size();
    return hearsSeeds && 2 * live > remembered;
}

} // namespace Apricothook
