#pragma once

#include <apricothook/dispatch/apricothook_service_versions.hpp>
#include <apricothook/dispatch/apricothook_stream_origin_exchange.hpp>
#include <apricothook/eventloop/apricothook_event_loop.hpp>

#include <functional>
#include <map>
#include <vector>

namespace Apricothook {

/**
 * Streams that callers take up without naming the request that began them.
 *
 * Nothing can be looked up for them. They go on only if all targets of the service are known to
 * have had one version for as long as such a stream may have existed, up to the arrival of the
 * request: it waits until the daemon's view is confirmed for that time.
 *
 * A route's timeout bounds one request, not the stream: a caller may come again after a refusal, or
 * take the stream up several times, each time with a request that is as long.
 */
class UnnamedStreams
{
public:
    using Decided = std::function<void(ExchangeId exchange, const StreamOriginDecision &decision)>;

    static constexpr std::chrono::milliseconds LongestWait {1000};
    /** No caller goes on with a stream for so long, nor for RequestsPerStream timeouts. */
    static constexpr std::chrono::minutes LongestAge {5};
    static constexpr int RequestsPerStream = 4;

    UnnamedStreams(EventLoop &loop, Decided decided) : m_loop(loop), m_decided(std::move(decided))
    {
    }
    ~UnnamedStreams();
    UnnamedStreams(const UnnamedStreams &) = delete;
    UnnamedStreams &operator=(const UnnamedStreams &) = delete;

    /** The whole fleet starts for the first time, so no stream is older than this daemon. */
    void beginAtFirstStart();
    /** `before`: the entry that the target had; null if none was known. */
    void putTarget(const TargetEntry *before, const TargetEntry &entry);
    void removeTarget(const TargetEntry &entry);
    void setConfiguration(const ServingConfiguration &configuration);
    /** All that was published until `time` is known. */
    void confirmView(Instant time);
    /** Finds the version of a stream of the route. Returns nothing if it is decided later. */
    std::optional<StreamOriginDecision> find(ExchangeId exchange, const RouteRule &route);
    void cancel(ExchangeId exchange);

private:
    /** Host and prefix of a route. */
    using RoutePath = std::pair<std::string, std::string>;
    struct Pending
    {
        ExchangeId exchange;
        RoutePath route;
        ServiceId service;
        Instant arrived {};
        /** No stream of the route is older. */
        Instant from {};
    };
    struct RouteHistory
    {
        std::vector<WeightedService> services;
        /** Since when the route has had these services, as far as this daemon knows. */
        Instant since {};
    };

    static Duration longestAge(const RouteRule &route);
    bool wasMoved(const RoutePath &route, Instant from) const;
    StreamOriginDecision decide(const Pending &pending) const;
    /** Decides on the requests that arrived until `time`. */
    void decideUntil(Instant time);
    void scheduleRefusal();

    EventLoop &m_loop;
    const Decided m_decided;
    ServiceVersions m_versions;
    bool m_isFirstStart = false;
    bool m_hasRoutes = false;
    std::map<RoutePath, RouteHistory> m_routes;
    std::vector<Pending> m_pending;
    TimerId m_timer = 0;
};

} // namespace Apricothook
