#include <apricothook/gateway/apricothook_forwarded_request.hpp>

#include <apricothook/http1/apricothook_http_status.hpp>

#include <apricothook/gateway/apricothook_gateway_event.hpp>

#include <algorithm>
#include <utility>

// ForwardedRequest: sends of requests that may crash their targets. The request is handled in
// apricothook_forwarded_request.cpp.

namespace Apricothook {

namespace {

/** Interval at which a request that waits for a trial's outcome, or for the suspects, looks for it.
 */
constexpr std::chrono::milliseconds HoldInterval {25};
/** The same for one that asks another daemon each time. */
constexpr std::chrono::milliseconds AskInterval {50};
/** A trial that takes longer is answered too late for the requests that wait for it. */
constexpr std::chrono::milliseconds LongestHold {500};
constexpr std::chrono::milliseconds ShortestSuspectRetryAfter {100};
/** Retry-After for a trial that might crash the last target in use. */
constexpr std::chrono::seconds RiskyTrialRetryAfter {1};

} // namespace

void ForwardedRequest::sendOrTry(const TargetEntry &target)
{
    TrialDecision suspicion = m_context.suspectGuard->decide(m_traits);
    if (suspicion.verdict == TrialVerdict::Clear) {
        if (m_context.suspectGuard->needsPermit(m_traits, m_admitted.service))
            acquirePermit(target);
        else
            send(target);
        return;
    }
    // A trial is the only attempt of its request.
    const TargetCounts targets = m_context.targets.counts(m_admitted.service, m_context.loop.now());
    const bool mayBeTried = suspicion.verdict == TrialVerdict::MayBeTried;
    const bool isRisky = mayBeTried && !suspicion.mayRisk(targets.usable, targets.all);
    if (mayBeTried && !isRisky && !m_silence.isPlacing()) {
        acquireTrialUnit(target, suspicion.trait);
        return;
    }
    releaseSlot(target);
    if (isRisky)
        suspicion.retryAfter = RiskyTrialRetryAfter;
    holdOrRefuse(suspicion);
}

void ForwardedRequest::acquirePermit(const TargetEntry &target)
{
    m_permitTarget = target;
    const Duration left = m_admitted.deadline - m_context.loop.now();
    if (const std::optional<PermitDecision> decision
        = m_context.suspectGuard->acquirePermit(m_id, m_traits, m_admitted.service, left))
        onPermitDecided(*decision);
}

void ForwardedRequest::onPermitDecided(const PermitDecision &decision)
{
    // The decision may come after the request has ended.
    if (!m_permitTarget)
        return;
    const TargetEntry target = *std::exchange(m_permitTarget, std::nullopt);
    logPermit(decision);
    TrialDecision suspicion = m_context.suspectGuard->decide(m_traits);
    const bool isClear = suspicion.verdict == TrialVerdict::Clear;
    const bool isGranted = decision.outcome == PermitOutcome::Granted;
    const TrackedTarget *tracked = m_context.targets.find(target.instance());
    if (isGranted && isClear && tracked && m_context.targets.acceptsRequests(*tracked)) {
        m_permit = decision.permit;
        send(target);
        return;
    }
    m_context.suspectGuard->reportPermit(decision.permit, PermitUse::Unused, target.instance());
    if (isGranted) {
        releaseSlot(target);
        submit();
        return;
    }
    releaseSlot(target);
    if (isClear) {
        suspicion.verdict = TrialVerdict::InFlight;
        suspicion.retryAfter = decision.retryAfter;
    }
    holdOrRefuse(suspicion);
}

void ForwardedRequest::logPermit(const PermitDecision &decision)
{
    m_context.log.write(LogEvent(GatewayEvent::PermitDecided)
                            .markRoutine()
                            .forRequest(m_admitted.fields.id)
                            .with("suspect", std::to_string(m_traits.content))
                            .with("outcome", std::string(nameOf(decision.outcome)))
                            .with("from", std::string(nameOf(decision.source)))
                            .with("asks", decision.queries)
                            .with("wait_ms", decision.waited)
                            .with("retry_after_ms", decision.retryAfter)
                            .with("left_ms", m_admitted.deadline - m_context.loop.now()));
}

void ForwardedRequest::reportPermit(Attempt &attempt, PermitUse use)
{
    if (const std::optional<std::uint64_t> permit = std::exchange(attempt.permit, std::nullopt))
        m_context.suspectGuard->reportPermit(*permit, use, attempt.target.instance());
}

PermitUse ForwardedRequest::permitUseOf(const Attempt &attempt, TargetOutcome outcome)
{
    if (!attempt.isSent || outcome == TargetOutcome::Full || outcome == TargetOutcome::Failed)
        return PermitUse::Unused;
    return outcome == TargetOutcome::Served ? PermitUse::Sound : PermitUse::Lost;
}

void ForwardedRequest::acquireTrialUnit(const TargetEntry &target, std::uint64_t trait)
{
    m_trialTarget = target;
    m_triedTrait = trait;
    m_waitsForUnits = true;
    const std::optional<LimitDecision> decision
        = m_context.limits.take(m_id,
                                {.limit = trait,
                                 .budget = trialBudget(),
                                 .demand = {1, 0},
                                 .longestWait = FleetRateLimiter::LongestWait},
                                m_context.loop.now());
    if (decision)
        m_context.deferLimitDecision(m_id, *decision);
    else
        m_context.unitsRequested();
}

void ForwardedRequest::onTrialUnitDecided(const LimitDecision &decision)
{
    const TargetEntry target = *std::exchange(m_trialTarget, std::nullopt);
    TrialDecision suspicion = m_context.suspectGuard->decide(m_traits);
    logTrial(suspicion, decision);
    const TrackedTarget *tracked = m_context.targets.find(target.instance());
    const bool mayReceive = tracked && m_context.targets.acceptsRequests(*tracked);
    const bool isClear = suspicion.verdict == TrialVerdict::Clear;
    const bool mayBeTried = suspicion.verdict == TrialVerdict::MayBeTried;
    const bool isSameTrait = suspicion.trait == m_triedTrait;
    const bool isTrial = decision.isAdmitted && mayBeTried && isSameTrait;
    if (mayReceive && (isClear || isTrial)) {
        if (isTrial)
            m_trial = m_context.suspectGuard->startTrial(m_triedTrait);
        else if (decision.isAdmitted)
            giveTrialUnitBack();
        send(target);
        return;
    }
    if (decision.isAdmitted)
        giveTrialUnitBack();
    releaseSlot(target);
    if (isClear || isTrial || (mayBeTried && !isSameTrait)) {
        submit();
        return;
    }
    suspicion.retryAfter = std::max(suspicion.retryAfter, decision.retryAfter);
    holdOrRefuse(suspicion);
}

void ForwardedRequest::giveTrialUnitBack()
{
    m_context.limits.giveBack(m_triedTrait, 1, m_context.loop.now());
}

void ForwardedRequest::withdrawTrial()
{
    if (const std::optional<std::uint64_t> trial = std::exchange(m_trial, std::nullopt))
        m_context.suspectGuard->withdrawTrial(m_triedTrait, *trial);
}

void ForwardedRequest::logTrial(const TrialDecision &suspicion, const LimitDecision &unit)
{
    m_context.log.write(LogEvent(GatewayEvent::TrialDecided)
                            .forRequest(m_admitted.fields.id)
                            .with("suspect", std::to_string(m_triedTrait))
                            .with("kind", std::string(nameOf(traitKind(m_triedTrait))))
                            .with("verdict", std::string(nameOf(suspicion.verdict)))
                            .with("crashes", suspicion.crashes)
                            .with("trials", suspicion.trials)
                            .with("age_ms", suspicion.age)
                            .with("granted", unit.isAdmitted)
                            .with("limit_from", std::string(nameOf(unit.source)))
                            .with("limit_asks", unit.queries)
                            .with("limit_wait_ms", unit.waited)
                            .with("level", unit.level)
                            .with("next_unit_ms", unit.retryAfter)
                            .with("left_ms", m_admitted.deadline - m_context.loop.now()));
}

void ForwardedRequest::holdOrRefuse(const TrialDecision &suspicion)
{
    const bool mayChangeSoon = suspicion.verdict == TrialVerdict::TrialRunning
        || suspicion.verdict == TrialVerdict::InFlight
        || (suspicion.verdict == TrialVerdict::MayBeTried && suspicion.retryAfter < LongestHold)
        || suspicion.verdict == TrialVerdict::Unknown;
    if (mayChangeSoon && m_held < LongestHold)
        hold(suspicion);
    else
        refuseSuspect(suspicion);
}

void ForwardedRequest::hold(const TrialDecision &suspicion)
{
    m_context.log.write(LogEvent(GatewayEvent::SuspectHeld)
                            .markRoutine()
                            .forRequest(m_admitted.fields.id)
                            .with("suspect", std::to_string(suspicion.trait))
                            .with("kind", std::string(nameOf(traitKind(suspicion.trait))))
                            .with("verdict", std::string(nameOf(suspicion.verdict)))
                            .with("crashes", suspicion.crashes)
                            .with("trials", suspicion.trials)
                            .with("age_ms", suspicion.age)
                            .with("held_ms", m_held));
    const Duration longest
        = suspicion.verdict == TrialVerdict::InFlight ? AskInterval : HoldInterval;
    const Duration wait = std::min(suspicion.retryAfter, longest);
    m_held += wait;
    m_holdTimer = m_context.loop.after(wait, [this] {
        m_holdTimer = 0;
        submit();
    });
}

void ForwardedRequest::refuseSuspect(const TrialDecision &suspicion)
{
    if (refuseBackup(nameOf(suspicion.verdict)))
        return;
    if (m_mayHaveRun || m_progress != Progress::Nothing || m_failedResponse) {
        failRequest();
        return;
    }
    m_suspicion = suspicion;
    const Duration retryAfter = std::clamp<Duration>(
        suspicion.retryAfter, ShortestSuspectRetryAfter, Dispatcher::LongestRetryAfter);
    const RequestOutcome outcome = suspicion.verdict == TrialVerdict::Unknown
        ? RequestOutcome::Uninformed
        : RequestOutcome::Quarantined;
    sendLocalResponse(outcome, HttpStatus::Unavailable, retryAfter);
}

void ForwardedRequest::recordCompleted(const Attempt &attempt)
{
    m_context.crashDetector.recordAlive(attempt.target.instance());
    // A target may fail before it runs the request.
    if (attempt.head.status >= HttpStatus::FirstServerError) {
        if (m_trial)
            giveTrialUnitBack();
        withdrawTrial();
        return;
    }
    // The connection of a target that crashes ends too.
    if (attempt.head.bodyEndsAtClose) {
        m_context.crashDetector.recordDropped(attempt.target, {m_traits, attempt.started, true});
        return;
    }
    m_context.suspectGuard->recordAnswer(m_traits, answerTimes(attempt));
}

AnswerTimes ForwardedRequest::answerTimes(const Attempt &attempt)
{
    return {attempt.started, attempt.hasFirstEvent ? attempt.firstEvent : attempt.started};
}

void ForwardedRequest::recordDropped(const Attempt &attempt)
{
    m_context.suspectGuard->recordDrop(m_admitted.service);
    m_context.crashDetector.recordDropped(attempt.target, {m_traits, attempt.started, false});
}

} // namespace Apricothook
