#pragma once

#include <apricothook/dispatch/apricothook_request_permits.hpp>

#include <optional>
#include <vector>

namespace Apricothook {

/** When a target was sent a request, and when it began to answer. */
struct AnswerTimes
{
    Instant sent {};
    /** Arrival of the first event of a stream; for other responses the same as `sent`. */
    Instant began {};

    auto operator<=>(const AnswerTimes &) const = default;
};

/** Decides which requests may be sent, so that one that crashes its targets reaches few of them. */
class SuspectGuard
{
public:
    virtual ~SuspectGuard() = default;
    virtual TrialDecision decide(const RequestTraits &request) = 0;
    /** Records a trial of the trait, which has its unit and begins now. Returns its number. */
    virtual std::uint64_t startTrial(std::uint64_t trait) = 0;
    /** Records that the trial ended without a run. */
    virtual void withdrawTrial(std::uint64_t trait, std::uint64_t trial) = 0;
    /** Records that a target completed its answer to the request, which `answer` tells about. */
    virtual void recordAnswer(const RequestTraits &request, const AnswerTimes &answer) = 0;
    /** Records that a target is writing its answer to the request. */
    virtual void recordProgress(const RequestTraits &request, const AnswerTimes &answer) = 0;
    /** Records that the target crashed at `crashed` while it ran the requests. */
    virtual void recordCrash(const TargetInstance &target,
                             const std::vector<RequestTraits> &requests, Instant crashed)
        = 0;
    /** Records that the target lives on, which left the request unanswered. */
    virtual void recordSurvived(const TargetInstance &target, const RequestTraits &request) = 0;
    /** Records that a target of the service dropped a request; it isn't known why. */
    virtual void recordDrop(const ServiceId &service) = 0;

    /** Whether the request, which isn't suspect, may be sent only with a permit. */
    virtual bool needsPermit(const RequestTraits &request, const ServiceId &service) const = 0;
    /**
     * Returns the decision, or nothing if it comes later. A permit that isn't used must be reported
     * as such, that of a refusal too.
     */
    virtual std::optional<PermitDecision> acquirePermit(ExchangeId exchange,
                                                        const RequestTraits &request,
                                                        const ServiceId &service, Duration lifetime)
        = 0;
    virtual void cancelPermit(ExchangeId exchange) = 0;
    virtual void reportPermit(std::uint64_t permit, PermitUse use, const TargetInstance &target)
        = 0;
};

} // namespace Apricothook
