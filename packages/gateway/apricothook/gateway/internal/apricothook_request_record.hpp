#pragma once

#include <apricothook/dispatch/apricothook_dispatcher.hpp>
#include <apricothook/dispatch/apricothook_fleet_rate_limiter.hpp>
#include <apricothook/dispatch/apricothook_suspect_traits.hpp>
#include <apricothook/gateway/apricothook_request_outcome.hpp>
#include <apricothook/gateway/apricothook_shutdown_forecast.hpp>
#include <apricothook/observe/apricothook_metrics.hpp>
#include <apricothook/observe/apricothook_structured_log.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace Apricothook {

/** The data that is logged and counted when a request ends. */
struct RequestRecord
{
    RequestOutcome outcome = RequestOutcome::Answered;
    RequestKey id;
    ClassId route;
    CustomerId customer;
    ServiceId service;
    /** The caller's attempt that began the stream; empty for one that begins anew. */
    RequestKey stream;
    /** Version of the target whose event was the first to be forwarded; empty if there was none. */
    TargetVersion beganVersion;
    /** The last event of the stream that was forwarded, or that the caller had before. */
    std::optional<std::uint64_t> lastEvent;
    Tier tier;
    Generation generation;
    unsigned status = 0;
    /** Sends to targets, including those that a target refused. */
    unsigned sends = 0;
    bool mayHaveRun = false;
    /** What ended a request without a complete response. */
    std::string_view cause;
    Duration duration {};
    /** Time until the deadline; negative after it, unset if the deadline isn't known. */
    std::optional<Duration> remaining;
    /** From arrival to the first byte of the response. */
    std::optional<Duration> timeToFirstByte;
    /** Longest time between two events of the stream; unset if there were fewer. */
    std::optional<Duration> longestPause;
    /** Zero if the route states none. */
    Duration gapObjective {};
    /** Set if the dispatcher refused the request. */
    std::optional<RefusalDetails> refusal;
    /** The decision of the customer's rate limit; unset if none was needed. */
    std::optional<LimitDecision> limit;
    /** The suspect trait, or that of the request's content. */
    std::uint64_t suspect = 0;
    /** Parts of the prompt, in order, without the last. */
    std::vector<PromptPartId> promptParts;
    /** Set if the request was refused as suspect. */
    std::optional<TrialDecision> suspicion;
    /** Set if the process was shutting down. */
    std::optional<ShutdownForecast> shutdown;
};

/** Updates the metrics and writes the request's final log line. */
void recordRequest(const RequestRecord &record, LogWriter &log, Metrics &metrics);

} // namespace Apricothook
