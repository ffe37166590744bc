#include <apricothook/serving/apricothook_instance_history.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

bool isRenewal(const TargetEntry &before, TargetEntry now)
{
    if (now.remainingColdTime > before.remainingColdTime)
        return false;
    now.sequence = before.sequence;
    now.remainingColdTime = before.remainingColdTime;
    return now == before;
}

std::uint64_t InstanceHistory::latestStart(const TargetId &target, const TargetEntry *known) const
{
    const auto removed = m_removed.find(target);
    return std::max(known ? known->startedAt : 0,
                    removed == m_removed.end() ? 0 : removed->second.startedAt);
}

void InstanceHistory::recordRemoved(const TargetEntry &entry, Instant now)
{
    std::erase_if(m_removed,
                  [now](const auto &target) { return now - target.second.removed > Lifetime; });
    if (entry.startedAt != 0)
        m_removed[entry.id] = {entry.startedAt, now};
}

bool InstanceHistory::hold(const TargetEntry &entry, Instant now)
{
    const auto [held, isFirst] = m_held.try_emplace(entry.id, HeldEntry {entry, now});
    const TargetEntry before = std::exchange(held->second.entry, entry);
    if (before.instance() != entry.instance())
        held->second.since = now;
    return isFirst || !isRenewal(before, entry);
}

bool InstanceHistory::discard(const TargetId &target)
{
    return m_held.erase(target) > 0;
}

std::vector<TargetEntry> InstanceHistory::takeUncontested(Instant confirmed)
{
    std::vector<TargetEntry> uncontested;
    std::erase_if(m_held, [&](const auto &held) {
        if (confirmed - held.second.since < m_longestSilence)
            return false;
        uncontested.push_back(held.second.entry);
        return true;
    });
    for (const TargetEntry &entry : uncontested)
        m_removed.erase(entry.id);
    return uncontested;
}

} // namespace Apricothook
