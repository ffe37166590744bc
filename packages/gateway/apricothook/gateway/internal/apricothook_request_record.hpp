#pragma once

#include <apricothook/dispatch/apricothook_customer_rate_limiter.hpp>
#include <apricothook/dispatch/apricothook_dispatcher.hpp>
#include <apricothook/gateway/apricothook_request_end.hpp>
#include <apricothook/observe/apricothook_metrics.hpp>
#include <apricothook/observe/apricothook_structured_log.hpp>

#include <optional>

namespace Apricothook {

/** All that is told of a request when it ends. */
struct RequestRecord
{
    RequestEnd end = RequestEnd::Answered;
    RequestKey id;
    ClassId route;
    CustomerId customer;
    ServiceId service;
    Tier tier;
    Generation generation;
    unsigned status = 0;
    /** Sends to targets, with those that a target refused. */
    unsigned sends = 0;
    bool mayHaveRun = false;
    Duration took {};
    /** Until the deadline; negative after it. */
    Duration left {};
    /** From arrival to the first byte of the answer. */
    std::optional<Duration> first;
    /** Set when there was no room. */
    std::optional<RefusalDetails> refusal;
    /** What decided whether the customer's limit had its units; unset where there is none. */
    std::optional<LimitDecision> limit;
};

/** Counts the request and writes its last line. */
void recordRequest(const RequestRecord &record, LogWriter &log, Metrics &metrics);

} // namespace Apricothook
