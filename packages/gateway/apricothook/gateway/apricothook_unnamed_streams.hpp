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
 * have had one version for as long as such a stream may last, up to the arrival of the request:
 * it waits until the daemon's view is confirmed for that time.
 */
class UnnamedStreams
{
public:
    using Decided = std::function<void(ExchangeId exchange, const StreamOriginDecision &decision)>;

    static constexpr std::chrono::milliseconds LongestWait {1000};

    UnnamedStreams(EventLoop &loop, Decided decided) : m_loop(loop), m_decided(std::move(decided))
    {
    }
    ~UnnamedStreams();
    UnnamedStreams(const UnnamedStreams &) = delete;
    UnnamedStreams &operator=(const UnnamedStreams &) = delete;

    /** `before`: the entry that the target had; null if none was known. */
    void putTarget(const TargetEntry *before, const TargetEntry &entry);
    void removeTarget(const TargetEntry &entry);
    void setConfiguration(const ServingConfiguration &configuration);
    /** All that was published until `time` is known. */
    void confirmView(Instant time);
    /**
     * Finds the version of a stream of the route that is at most `age` old. Returns nothing if it
     * is decided later.
     */
    std::optional<StreamOriginDecision> find(ExchangeId exchange, const RouteRule &route,
                                             Duration age);
    void cancel(ExchangeId exchange);

private:
    struct Pending
    {
        ExchangeId exchange;
        ServiceId service;
        Instant arrived {};
        Duration age {};
    };
    /** Host and prefix of a route. */
    using RoutePath = std::pair<std::string, std::string>;

    StreamOriginDecision decide(const Pending &pending) const;
    /** Decides on the requests that arrived until `time`. */
    void decideUntil(Instant time);
    void scheduleRefusal();

    EventLoop &m_loop;
    const Decided m_decided;
    ServiceVersions m_versions;
    std::map<RoutePath, std::vector<WeightedService>> m_services;
    /** When some route was last moved to other services. */
    Instant m_routesMoved {};
    std::vector<Pending> m_pending;
    TimerId m_timer = 0;
};

} // namespace Apricothook
