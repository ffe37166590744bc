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

void UnnamedStreams::beginAtFirstStart()
{
    m_isFirstStart = true;
    m_versions.beginAtFirstStart();
}

void UnnamedStreams::setConfiguration(const ServingConfiguration &configuration)
{
    // A route that is new may have taken the paths of a shorter prefix.
    const bool isFirst = !std::exchange(m_hasRoutes, true);
    const Instant since = isFirst && m_isFirstStart ? Instant::min() : m_loop.now();
    std::map<RoutePath, RouteHistory> routes;
    for (const RouteRule &route : configuration.routes) {
        const RoutePath path {route.host, route.prefix};
        const auto known = m_routes.find(path);
        const bool isSame = known != m_routes.end() && known->second.services == route.services;
        routes[path] = isSame ? known->second : RouteHistory {route.services, since};
    }
    m_routes = std::move(routes);
}

bool UnnamedStreams::wasMoved(const RoutePath &route, Instant from) const
{
    const auto known = m_routes.find(route);
    return known == m_routes.end() || known->second.since > from;
}

void UnnamedStreams::confirmView(Instant time)
{
    m_versions.confirm(time);
    decideUntil(time);
}

Duration UnnamedStreams::longestAge(const RouteRule &route)
{
    return std::max<Duration>(LongestAge, RequestsPerStream * route.timeout);
}

std::optional<StreamOriginDecision> UnnamedStreams::find(ExchangeId exchange,
                                                         const RouteRule &route)
{
    const Instant from = m_loop.now() - longestAge(route);
    const RoutePath path {route.host, route.prefix};
    // A route with several services doesn't tell which of them began the stream.
    if (route.services.size() != 1 || wasMoved(path, from) || !m_versions.remembers(from))
        return StreamOriginDecision {};
    m_pending.push_back({exchange, path, route.services.front().service, m_loop.now(), from});
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
    StreamOriginDecision decision;
    decision.waited = m_loop.now() - pending.arrived;
    const std::optional<TargetVersion> version
        = m_versions.soleVersion(pending.service, pending.from, pending.arrived);
    if (!version || wasMoved(pending.route, pending.from))
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
