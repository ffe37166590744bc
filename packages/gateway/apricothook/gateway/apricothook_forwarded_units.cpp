#include <apricothook/gateway/apricothook_forwarded_request.hpp>

#include <apricothook/http1/apricothook_http_status.hpp>

#include <apricothook/gateway/apricothook_gateway_event.hpp>
#include <apricothook/gateway/internal/apricothook_target_units.hpp>

#include <algorithm>
#include <utility>

// ForwardedRequest: takes units of the limits of its customer and of targets. The request is
// handled in apricothook_forwarded_request.cpp.

namespace Apricothook {

namespace {

/** Smallest Retry-After for a customer that is over its limit. */
constexpr std::chrono::milliseconds ShortestLimitRetryAfter {100};
/** A grantor that reaches more of the fleet, or a raised limit, has units earlier than was told. */
constexpr std::chrono::seconds LongestTargetHold {1};

Duration holdTime(const LimitDecision &decision)
{
    if (decision.source != LimitSource::Grantor)
        return FleetRateLimiter::PendingPause;
    return std::min<Duration>(decision.retryAfter, LongestTargetHold);
}

} // namespace

void ForwardedRequest::acquireUnits()
{
    if (!m_admitted.customer) {
        start();
        return;
    }
    const std::optional<LimitDecision> decision
        = m_context.limits.take(m_id,
                                {.limit = customerHash(m_admitted.customer->name),
                                 .budget = budgetOf(*m_admitted.customer, m_context.bounds),
                                 .demand = unitDemand(m_context, m_admitted),
                                 .longestWait = FleetRateLimiter::LongestWait},
                                m_arrived);
    m_waitsForUnits = !decision;
    if (decision)
        onCustomerUnitsDecided(*decision);
    else
        m_context.unitsRequested();
}

void ForwardedRequest::onLimitDecided(const LimitDecision &decision)
{
    // A deferred decision may come after the request has ended.
    if (!std::exchange(m_waitsForUnits, false))
        return;
    if (m_trialTarget)
        onTrialUnitDecided(decision);
    else if (m_limitedTarget)
        onTargetUnitDecided(decision);
    else
        onCustomerUnitsDecided(decision);
}

void ForwardedRequest::onCustomerUnitsDecided(const LimitDecision &decision)
{
    m_limitDecision = decision;
    if (decision.isAdmitted) {
        start();
        return;
    }
    const Duration retryAfter = std::max<Duration>(decision.retryAfter, ShortestLimitRetryAfter);
    // Without a grantor it is unknown whether the customer is over its limit, so no 429.
    if (decision.source == LimitSource::Nobody)
        sendLocalResponse(RequestOutcome::NoGrantor, HttpStatus::Unavailable, retryAfter);
    else
        sendLocalResponse(RequestOutcome::OverLimit, HttpStatus::TooManyRequests, retryAfter);
}

void ForwardedRequest::acquireTargetUnit(const TargetEntry &target, const LimitedUnits &units)
{
    m_limitedTarget = target;
    const std::optional<LimitDecision> decision
        = m_context.limits.take(m_id, units, m_context.loop.now());
    if (decision && decision->isAdmitted) {
        onTargetUnitDecided(*decision);
        return;
    }
    m_context.targets.unitRequested(target.instance());
    m_waitsForUnits = true;
    if (decision)
        m_context.deferLimitDecision(m_id, *decision);
    else
        m_context.unitsRequested();
}

void ForwardedRequest::onTargetUnitDecided(const LimitDecision &decision)
{
    const TargetEntry target = *std::exchange(m_limitedTarget, std::nullopt);
    const TrackedTarget *tracked = m_context.targets.find(target.instance());
    const bool isLimited = unitsFor(tracked, m_context.bounds).has_value();
    const bool isHeld = isLimited && !decision.isAdmitted;
    m_context.targets.unitDecided(target.instance(),
                                  isHeld ? m_context.loop.now() + holdTime(decision) : Instant());
    m_targetUnit = decision;
    const bool mayReceive = tracked && m_context.targets.acceptsRequests(*tracked);
    if (mayReceive && !isHeld) {
        sendOrTry(target);
        return;
    }
    logTargetLimitReached(target, decision);
    releaseSlot(target);
    submit();
}

void ForwardedRequest::releaseSlot(const TargetEntry &target)
{
    m_context.targets.requestEnded(target.instance(), m_admitted.size, TargetOutcome::Cancelled, {},
                                   false, m_context.loop.now());
    m_context.capacityFreed();
}

void ForwardedRequest::logTargetLimitReached(const TargetEntry &target,
                                             const LimitDecision &decision)
{
    m_context.metrics.targetUnitDecided(m_admitted.service, false);
    const Instant now = m_context.loop.now();
    const TargetLimit *limit = m_context.targetLimits.find(targetHash(target.instance()));
    m_context.log.write(LogEvent(GatewayEvent::TargetLimitReached)
                            .forRequest(m_admitted.fields.id)
                            .with("target", target.id.text())
                            .with("limit_per_s", limit ? limit->perSecond().value_or(0) : 0)
                            .with("limit_age_ms", limit ? now - limit->observed : Duration())
                            .with("limit_from", std::string(nameOf(decision.source)))
                            .with("limit_asks", decision.queries)
                            .with("limit_wait_ms", decision.waited)
                            .with("level", decision.level)
                            .with("next_unit_ms", decision.retryAfter)
                            .with("granted", decision.isAdmitted)
                            .with("waited_ms", now - m_arrived)
                            .with("left_ms", m_admitted.deadline - now));
}

} // namespace Apricothook
