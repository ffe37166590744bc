#pragma once

#include <apricothook/dispatch/apricothook_dispatcher.hpp>
#include <apricothook/dispatch/apricothook_fleet_rate_limiter.hpp>
#include <apricothook/dispatch/apricothook_limit_reserve.hpp>
#include <apricothook/dispatch/apricothook_longest_response_times.hpp>
#include <apricothook/dispatch/apricothook_policy_switches.hpp>
#include <apricothook/dispatch/apricothook_retry_budget_share.hpp>
#include <apricothook/dispatch/apricothook_route_table.hpp>
#include <apricothook/dispatch/apricothook_route_urgency.hpp>
#include <apricothook/dispatch/apricothook_size_order.hpp>
#include <apricothook/dispatch/apricothook_target_limit_announcer.hpp>
#include <apricothook/gateway/apricothook_caller_memory.hpp>
#include <apricothook/gateway/apricothook_channel_pool.hpp>
#include <apricothook/gateway/apricothook_crash_detector.hpp>
#include <apricothook/gateway/apricothook_fleet_stream_origins.hpp>
#include <apricothook/gateway/apricothook_suspect_guard.hpp>
#include <apricothook/gateway/apricothook_unnamed_streams.hpp>
#include <apricothook/observe/apricothook_metrics.hpp>
#include <apricothook/paths/apricothook_path_monitor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Apricothook {

/** State shared by all requests of the gateway; lives as long as the gateway. */
struct GatewayContext
{
    EventLoop &loop;
    const WireProtocol &protocol;
    RandomSource &random;
    LogWriter &log;
    Metrics &metrics;
    const CallerMemory &memory;
    const FleetBounds &bounds;
    const PolicySwitches policies;
    TargetTable &targets;
    Dispatcher &dispatcher;
    PathMonitor &paths;
    ChannelPool &channels;
    FleetRateLimiter &limits;
    const TargetLimits &targetLimits;
    CrashDetector &crashDetector;
    FleetStreamOrigins &streams;
    UnnamedStreams &unnamedStreams;
    SuspectGuard *suspectGuard; ///< Never null.
    /** Null until the first configuration is received. */
    std::shared_ptr<const RouteTable> routes;
    /** Number of live daemons, including this one. */
    std::size_t members = 1;
    /** Number of daemons that share the fleet-wide bounds; unknown after a start. */
    std::optional<std::size_t> fleetSize;
    /** The process is shutting down. */
    bool refusesNewRequests = false;
    /** What begins must be complete by then; unset unless the process is shutting down. */
    std::optional<Instant> shutdownAt;
    /** When the gateway was created. */
    const Instant started {};
    std::map<ServiceId, RetryBudgetShare> retryBudgets;
    RouteUrgency urgency;
    SizeOrder sizes;
    LongestResponseTimes responseTimes;
    LimitReserve limitReserve;
    /** Called when a request starts to wait for units. */
    std::function<void()> unitsRequested;
    /** Calls onLimitDecided() of the exchange after the current event. */
    std::function<void(ExchangeId exchange, const LimitDecision &decision)> deferLimitDecision;
    /** Called with what a target's answer tells about one of its limits. */
    std::function<void(TargetLimitKind kind, const TargetLimitReport &report)> targetLimitReported;
    /** Called when a target has rejected a request for lack of room. */
    std::function<void(const TargetInstance &target)> targetFull;
    /** Called when a slot of a target may have become free. */
    std::function<void()> capacityFreed;

    RetryBudgetShare &retryBudgetOf(const ServiceId &service)
    {
        return retryBudgets.try_emplace(service, bounds, started).first->second;
    }
};

} // namespace Apricothook
