#include <apricothook/core/internal/apricothook_target_poller.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr Duration PollPeriod = std::chrono::seconds(2);

bool isEngine(const FleetText &text, const ServiceId &id)
{
    const auto service = std::ranges::find(text.services, id, &Service::id);
    return service != text.services.end() && service->kind == ServiceKind::Engine;
}

} // namespace

void TargetPoller::tick(const FleetText &text, Instant now)
{
    if (now < m_due)
        return;
    m_due = now + PollPeriod;
    for (const ShardId &shard : m_steward.shards()) {
        if (!isEngine(text, shard.service))
            continue;
        for (const Target &target : m_steward.shardMap()->find(shard)->targets)
            m_targets.order(PollOrder {target.id, target.address, m_seen[target.id]});
    }
}

bool TargetPoller::isBack(const LoadReport &report)
{
    if (report.isReachable)
        return m_unreachable.erase(report.target) > 0;
    m_unreachable.insert(report.target);
    return false;
}

void TargetPoller::learn(const CacheEvents &events)
{
    for (const CacheEvent &event : events.events)
        m_seen[events.target] = std::max(m_seen[events.target], event.sequence);
}

} // namespace Apricothook
