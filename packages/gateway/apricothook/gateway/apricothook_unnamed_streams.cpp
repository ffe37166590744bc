#include <apricothook/gateway/apricothook_unnamed_streams.hpp>

#include <apricothook/dispatch/apricothook_dispatcher.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

UnnamedStreams::~UnnamedStreams()
{
    m_loop.cancel(m_timer);
}

void UnnamedStreams::putTarget(const TargetEntry *before, const TargetEntry &entry)
{
    if (before)
        m_versions.remove(*before, m_loop.now());
    m_versions.put(entry);
}

void UnnamedStreams::removeTarget(const TargetEntry &entry)
{
    m_versions.remove(entry, m_loop.now());
}

void UnnamedStreams::setConfiguration(const ServingConfiguration &configuration)
{
    std::map<RoutePath, std::vector<WeightedService>> services;
    for (const RouteRule &route : configuration.routes)
        services[{route.host, route.prefix}] = route.services;
    if (services == m_services)
        return;
    m_services = std::move(services);
    m_routesMoved = m_loop.now();
}

void UnnamedStreams::confirmView(Instant time)
{
    m_versions.confirm(time);
    decideUntil(time);
}

std::optional<StreamOriginDecision> UnnamedStreams::find(ExchangeId exchange,
                                                         const RouteRule &route, Duration age)
{
    const Instant from = m_loop.now() - age;
    // A route with several services doesn't tell which of them began the stream.
    if (route.services.size() != 1 || m_routesMoved > from || !m_versions.remembers(from))
        return StreamOriginDecision {};
    m_pending.push_back({exchange, route.services.front().service, m_loop.now(), age});
    scheduleRefusal();
    return std::nullopt;
}

void UnnamedStreams::cancel(ExchangeId exchange)
{
    std::erase_if(m_pending,
                  [exchange](const Pending &pending) { return pending.exchange == exchange; });
}

StreamOriginDecision UnnamedStreams::decide(const Pending &pending) const
{
    const Instant from = pending.arrived - pending.age;
    StreamOriginDecision decision;
    decision.waited = m_loop.now() - pending.arrived;
    const std::optional<TargetVersion> version
        = m_versions.soleVersion(pending.service, from, pending.arrived);
    if (!version || m_routesMoved > from)
        return decision;
    decision.origin = {serviceHash(pending.service), *version};
    decision.source = StreamOriginSource::SoleVersion;
    return decision;
}

void UnnamedStreams::decideUntil(Instant time)
{
    std::vector<Pending> due;
    std::erase_if(m_pending, [&](const Pending &pending) {
        if (pending.arrived <= time)
            due.push_back(pending);
        return pending.arrived <= time;
    });
    for (const Pending &pending : due)
        m_decided(pending.exchange, decide(pending));
}

void UnnamedStreams::scheduleRefusal()
{
    m_loop.cancel(m_timer);
    m_timer = 0;
    if (m_pending.empty())
        return;
    const Duration wait = m_pending.front().arrived + LongestWait - m_loop.now();
    m_timer = m_loop.after(std::max<Duration>(wait, Duration::zero()), [this] {
        m_timer = 0;
        decideUntil(m_loop.now() - LongestWait);
        scheduleRefusal();
    });
}

} // namespace Apricothook
