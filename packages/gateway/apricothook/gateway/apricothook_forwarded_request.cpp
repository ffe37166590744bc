#include <apricothook/gateway/apricothook_forwarded_request.hpp>

#include <apricothook/http1/apricothook_http_status.hpp>

#include <apricothook/gateway/apricothook_gateway_event.hpp>
#include <apricothook/gateway/internal/apricothook_attempt_failure.hpp>
#include <apricothook/gateway/internal/apricothook_request_fingerprint.hpp>
#include <apricothook/gateway/internal/apricothook_request_rank.hpp>
#include <apricothook/gateway/internal/apricothook_request_record.hpp>
#include <apricothook/gateway/internal/apricothook_target_units.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

/** Most sends of one request, including those that a target refused. */
constexpr unsigned MaxSends = 4;
/** Targets stop at the deadline themselves; allows for their response to arrive. */
constexpr std::chrono::milliseconds DeadlineGrace {60};
/** Without this much time before the deadline a request isn't retried. */
constexpr std::chrono::milliseconds MinTimeToRetry {100};
/** Multiple of the expected time to the first event after which a target is unresponsive. */
constexpr int FirstEventTimeoutFactor = 3;
/** Retry-After if every target refused the request for lack of free slots. */
constexpr std::chrono::milliseconds DefaultRetryAfter {500};

AttemptLoss lossOf(const Attempt &attempt)
{
    if (!attempt.isSent)
        return AttemptLoss::NotConnected;
    return attempt.hasHead ? AttemptLoss::CutShort : AttemptLoss::Unanswered;
}

} // namespace

ForwardedRequest::ForwardedRequest(GatewayContext &context, ExchangeId id, ReceivedRequest request,
                                   CallerResponder &responder)
    : m_context(context)
    , m_id(id)
    , m_received(std::move(request))
    , m_responder(responder)
    , m_arrived(context.loop.now())
    , m_continuation(context, id)
{
}

ForwardedRequest::~ForwardedRequest()
{
    m_context.loop.cancel(m_deadlineTimer);
    m_context.loop.cancel(m_holdTimer);
    if (m_attempt)
        m_context.loop.cancel(m_attempt->silenceTimer);
}

void ForwardedRequest::begin()
{
    const Result<void, AdmissionRefusal> admitted = admit(m_received, m_context, m_admitted);
    m_lastEvent = m_admitted.fields.lastEventId;
    if (!admitted) {
        const AdmissionRefusal &refusal = admitted.error();
        sendLocalResponse(refusal.outcome, refusal.status, refusal.retryAfter);
        return;
    }
    if (m_admitted.deadline <= m_arrived) {
        sendLocalResponse(RequestOutcome::TimedOut, HttpStatus::Unavailable, Duration::zero());
        return;
    }
    m_fingerprint = fingerprintOf(m_received, m_admitted);
    const TrialDecision suspicion = m_context.suspectGuard->decide(m_fingerprint);
    if (suspicion.verdict == TrialVerdict::Quarantined) {
        refuseSuspect(suspicion);
        return;
    }
    m_deadlineTimer = m_context.loop.after(m_admitted.deadline - m_arrived, [this] {
        m_deadlineTimer = 0;
        onDeadline();
    });
    findOrigin();
}

void ForwardedRequest::start()
{
    m_context.retryBudgetOf(m_admitted.service).countRequest(m_arrived);
    recordRequestSize(m_context, m_admitted);
    submit();
}

void ForwardedRequest::stopWaiting()
{
    m_continuation.cancel();
    if (std::exchange(m_waiting, false))
        m_context.dispatcher.cancel(m_id);
    if (std::exchange(m_waitsForUnits, false))
        m_context.limits.cancel(m_id);
    if (const std::optional<TargetEntry> target = std::exchange(m_limitedTarget, std::nullopt)) {
        m_context.targets.unitDecided(target->instance(), {});
        releaseSlot(*target);
    }
    if (const std::optional<TargetEntry> target = std::exchange(m_trialTarget, std::nullopt))
        releaseSlot(*target);
    if (const std::optional<TargetEntry> target = std::exchange(m_permitTarget, std::nullopt)) {
        m_context.suspectGuard->cancelPermit(m_id);
        releaseSlot(*target);
    }
    m_context.loop.cancel(m_holdTimer);
}

void ForwardedRequest::submit()
{
    m_waiting = true;
    const bool isFirst = m_sends == 0;
    const Instant now = m_context.loop.now();
    m_rank = rankOf(m_context, m_admitted);
    m_context.dispatcher.submit({.exchange = m_id,
                                 .service = m_admitted.service,
                                 .rank = m_rank,
                                 .size = m_admitted.size,
                                 .arrived = isFirst ? m_arrived : now,
                                 .objective = m_admitted.route->objective,
                                 .deadline = m_admitted.deadline,
                                 .constraint = constraint()},
                                now);
}

void ForwardedRequest::onRefused(const RefusalDetails &facts)
{
    m_waiting = false;
    m_refusal = facts;
    if (m_mayHaveRun || m_progress != Progress::Nothing || m_failedAttempt)
        failRequest();
    else
        sendLocalResponse(RequestOutcome::NoRoom, HttpStatus::Unavailable, facts.retryAfter);
}

void ForwardedRequest::onPlaced(const TargetEntry &target)
{
    m_waiting = false;
    const TrackedTarget *tracked = m_context.targets.find(target.id);
    if (const std::optional<LimitedUnits> units = unitsFor(tracked, m_context.bounds)) {
        acquireTargetUnit(target, *units);
        return;
    }
    m_targetUnit.reset();
    sendOrTry(target);
}

void ForwardedRequest::logPlacement()
{
    const Instant now = m_context.loop.now();
    const TargetEntry &target = m_attempt->target;
    const TargetPaths &paths = m_context.paths.paths();
    const std::optional<Instant> lost = paths.lostSince(target.instance());
    const std::optional<Endpoint> &relay = m_attempt->channel->relay();
    const TrackedTarget *believed = m_context.targets.find(target.id);
    LogEvent line(GatewayEvent::RequestPlaced);
    if (m_targetUnit) {
        m_context.metrics.targetUnitDecided(m_admitted.service, true);
        const TargetLimit *limit = m_context.targetLimits.find(targetHash(target.instance()));
        line.with("limit_per_s", limit ? limit->perSecond().value_or(0) : 0)
            .with("limit_age_ms", limit ? now - limit->observed : Duration())
            .with("limit_from", std::string(nameOf(m_targetUnit->source)))
            .with("limit_wait_ms", m_targetUnit->waited)
            .with("level", m_targetUnit->level);
    }
    m_context.log.write(line.markRoutine()
                            .forRequest(m_admitted.fields.id)
                            .with("target", target.id.text())
                            .with("version", target.version.text())
                            .with("stream", m_admitted.fields.resumes.text())
                            .with("began_version", m_continuation.versionName().text())
                            .with("last_event", m_lastEvent.value_or(0))
                            .with("path", std::string(nameOf(paths.state(target.instance()))))
                            .with("path_lost_ms", lost ? now - *lost : Duration())
                            .with("relay", relay ? relay->text() : std::string())
                            .with("trial", m_trial.has_value())
                            .with("own_load", believed ? believed->ownRequests : 0)
                            .with("brittle", believed && believed->hasOwnShare)
                            .with("share", believed ? believed->cellSlots : 0)
                            .with("others_load", believed ? believed->requestsOfOthers : 0)
                            .with("slots", target.slots)
                            .with("cold", believed && believed->isCold)
                            .with("attempt", m_sends)
                            .with("prompt", m_admitted.size.promptTokens)
                            .with("events", m_admitted.size.events)
                            .with("urgency", m_rank.route.rank())
                            .with("waited_ms", now - m_arrived)
                            .with("left_ms", m_admitted.deadline - now)
                            .with("generation", m_admitted.generation().value()));
}

void ForwardedRequest::onTargetRestarted(const TargetInstance &current)
{
    const bool isLost = m_attempt && m_attempt->target.id == current.id
        && m_attempt->target.instance() != current;
    if (!isLost)
        return;
    // The connection to the earlier instance may stay open without traffic; the caller would then
    // wait until the deadline for a response that is never sent.
    m_attempt->channel->cancel();
    if (!m_attempt->isSent) {
        onAttemptFailed(TargetOutcome::Cancelled, AttemptFailure::NotConnected);
        return;
    }
    m_mayHaveRun = true;
    recordDropped();
    onAttemptFailed(TargetOutcome::Lost, "restarted");
}

void ForwardedRequest::send(const TargetEntry &target)
{
    ++m_sends;
    m_triedTargets.insert(target.instance());
    m_scanner.clear();
    m_attempt.emplace();
    m_attempt->target = target;
    m_attempt->started = m_context.loop.now();
    m_attempt->channel = &m_context.channels.acquire(target, m_admitted.fields.id,
                                                     m_admitted.route->isRetryable());
    logPlacement();
    m_attempt->channel->start(m_admitted.fields.id, m_received.head.method == "HEAD", *this);
}

std::string ForwardedRequest::writeRequest()
{
    const Instant now = m_context.loop.now();
    m_attempt->isSent = true;
    m_attempt->started = now;
    m_attempt->lastEvent = now;
    const TargetRequestFields fields {
        .timeout = std::max(m_admitted.deadline - now, Duration::zero()),
        .target = m_attempt->target.id,
        .customer = m_admitted.customer ? m_admitted.customer->name : CustomerId(),
        .lastEventId = m_lastEvent,
    };
    const RequestHead head = m_context.protocol.targetRequest(m_received.head, fields);
    const bool hasBody = !m_received.body.empty() || m_received.head.headers.find("Content-Length")
        || m_received.head.headers.find("Transfer-Encoding");
    const BodyFraming framing
        = {hasBody ? BodyFraming::Kind::Sized : BodyFraming::Kind::None, m_received.body.size()};
    if (m_admitted.route->isRetryable())
        armSilenceTimer(firstEventTimeout());
    return writeRequestHead(head, framing) + m_received.body;
}

Duration ForwardedRequest::firstEventTimeout() const
{
    const Duration expected
        = m_context.targets.expectedTimeToFirstEvent(m_admitted.service, m_admitted.size);
    return std::max(m_admitted.route->objective, FirstEventTimeoutFactor * expected);
}

void ForwardedRequest::armSilenceTimer(Duration limit)
{
    m_context.loop.cancel(m_attempt->silenceTimer);
    m_attempt->silenceTimer = m_context.loop.after(limit, [this, limit] {
        m_attempt->silenceTimer = 0;
        // If no retry is possible, keep waiting: a late response is better than none.
        const bool isCancelled = m_admitted.route->isRetryable()
            && m_runs + 1 < m_admitted.route->maximumAttempts && mayRetry();
        logSilence(limit, isCancelled ? "cancels" : "waits");
        if (!isCancelled) {
            armSilenceTimer(limit);
            return;
        }
        m_attempt->channel->cancel();
        m_mayHaveRun = true;
        ++m_runs;
        recordDropped();
        endAttempt(TargetOutcome::Lost);
        submit();
    });
}

void ForwardedRequest::logSilence(Duration limit, std::string_view decision)
{
    const Instant now = m_context.loop.now();
    const std::optional<Endpoint> &relay = m_attempt->channel->relay();
    m_context.log.write(LogEvent(GatewayEvent::TargetSilent)
                            .forRequest(m_admitted.fields.id)
                            .with("target", m_attempt->target.id.text())
                            .with("version", m_attempt->target.version.text())
                            .with("relay", relay ? relay->text() : std::string())
                            .with("decision", std::string(decision))
                            .with("silent_ms", now - m_attempt->lastEvent)
                            .with("limit_ms", limit)
                            .with("last_event", m_lastEvent.value_or(0))
                            .with("forwarded", m_progress != Progress::Nothing)
                            .with("attempt", m_sends)
                            .with("left_ms", m_admitted.deadline - now));
}

void ForwardedRequest::onAttemptFailed(TargetOutcome outcome, std::string_view cause)
{
    const Instant now = m_context.loop.now();
    const std::optional<Endpoint> relay = m_attempt->channel->relay();
    m_context.log.write(LogEvent(GatewayEvent::AttemptFailed)
                            .forRequest(m_admitted.fields.id)
                            .with("target", m_attempt->target.id.text())
                            .with("version", m_attempt->target.version.text())
                            .with("last_event", m_lastEvent.value_or(0))
                            .with("relay", relay ? relay->text() : std::string())
                            .with("cause", std::string(cause))
                            .with("status", m_attempt->head.status)
                            .with("attempt", m_sends)
                            .with("may_have_run", m_mayHaveRun)
                            .with("suspect", std::to_string(suspectHash(m_fingerprint)))
                            .with("trial", m_trial.has_value())
                            .with("took_ms", now - m_attempt->started)
                            .with("left_ms", m_admitted.deadline - now));
    // Without a connection the target received nothing: neither a run nor a retry is counted.
    const bool arrived = cause != AttemptFailure::NotConnected;
    m_runs += arrived && outcome != TargetOutcome::Full ? 1 : 0;
    if (outcome == TargetOutcome::Full)
        withdrawTrial();
    if (!arrived && m_trial) {
        giveTrialUnitBack();
        withdrawTrial();
    }
    // The target may be reached through another daemon.
    if (!arrived && relay)
        m_triedTargets.erase(m_attempt->target.instance());
    endAttempt(outcome);
    if (arrived ? mayRetry() : m_sends < MaxSends) {
        submit();
        return;
    }
    failRequest();
}

bool ForwardedRequest::mayRetry()
{
    const Instant now = m_context.loop.now();
    // A part of a body can't be followed by that of another run; a stream goes on after an event.
    const bool canGoOn = m_progress == Progress::Nothing || m_continuation.version();
    const bool allowed = canGoOn && m_context.policies.repeats
        && (!m_mayHaveRun || m_admitted.route->isRetryable()) && m_sends < MaxSends
        && m_runs < std::max(m_admitted.route->maximumAttempts, 1U)
        && m_admitted.deadline - now > MinTimeToRetry && !m_trial
        && m_context.suspectGuard->decide(m_fingerprint).verdict != TrialVerdict::Quarantined;
    if (!allowed)
        return false;
    return takeRetryFromBudget(now);
}

bool ForwardedRequest::takeRetryFromBudget(Instant now)
{
    const RetryDecision decision
        = m_context.retryBudgetOf(m_admitted.service).tryTake(now, m_context.fleetSize);
    LogEvent line(decision.isGranted ? GatewayEvent::RetryGranted : GatewayEvent::RetryDenied);
    line.forRequest(m_admitted.fields.id)
        .with("service", m_admitted.service.text())
        .with("attempt", m_sends)
        .with("window_requests", decision.requests)
        .with("window_repeats", decision.retries)
        .with("window_allowed", decision.allowed)
        .with("fleet_size", decision.daemons);
    if (decision.isGranted)
        line.markRoutine();
    m_context.log.write(line);
    m_context.metrics.retryDecided(m_admitted.service, decision.isGranted);
    return decision.isGranted;
}

void ForwardedRequest::endAttempt(TargetOutcome outcome)
{
    m_context.loop.cancel(m_attempt->silenceTimer);
    const Instant now = m_context.loop.now();
    if (outcome == TargetOutcome::Served)
        recordCompleted();
    reportPermit(permitUseOf(outcome));
    if (outcome == TargetOutcome::Lost)
        m_context.paths.recordLost(m_attempt->target, m_attempt->channel->relay(),
                                   lossOf(*m_attempt));
    m_context.targets.requestEnded(m_attempt->target.instance(), m_admitted.size, outcome,
                                   now - m_attempt->started, m_attempt->hasFirstEvent, now);
    if (outcome == TargetOutcome::Full)
        m_context.targetFull(m_attempt->target.instance());
    if (outcome == TargetOutcome::Served)
        m_context.urgency.recordHoldTime(m_admitted.service, m_admitted.route->name,
                                         m_admitted.route->tier, now - m_attempt->started);
    m_attempt.reset();
    m_context.capacityFreed();
}

void ForwardedRequest::failRequest()
{
    if (m_progress != Progress::Nothing) {
        abort(RequestOutcome::TargetFailed);
    } else if (m_failedAttempt) {
        m_attempt = std::exchange(m_failedAttempt, std::nullopt);
        forwardHead({BodyFraming::Kind::Sized, m_attempt->body.size()});
        m_responder.sendBody(m_attempt->body);
        m_attempt.reset();
        finish(RequestOutcome::TargetFailed);
    } else if (m_mayHaveRun) {
        sendLocalResponse(RequestOutcome::TargetFailed, HttpStatus::BadGateway, std::nullopt);
    } else {
        sendLocalResponse(RequestOutcome::TargetsRefused, HttpStatus::Unavailable,
                          DefaultRetryAfter);
    }
}

void ForwardedRequest::onDeadline()
{
    const Instant now = m_context.loop.now();
    if (m_attempt && now < m_admitted.deadline + DeadlineGrace) {
        m_deadlineTimer = m_context.loop.after(m_admitted.deadline + DeadlineGrace - now, [this] {
            m_deadlineTimer = 0;
            onDeadline();
        });
        return;
    }
    if (m_attempt) {
        m_mayHaveRun |= m_attempt->isSent;
        m_attempt->channel->cancel();
        if (m_attempt->isSent && !m_attempt->hasHead)
            recordDropped();
        endAttempt(m_attempt->hasFirstEvent ? TargetOutcome::Cancelled : TargetOutcome::Lost);
    }
    stopWaiting();
    if (m_progress != Progress::Nothing)
        abort(RequestOutcome::TimedOut);
    else if (m_mayHaveRun)
        sendLocalResponse(RequestOutcome::TimedOut, HttpStatus::GatewayTimeout, std::nullopt);
    else
        sendLocalResponse(RequestOutcome::TimedOut, HttpStatus::Unavailable, Duration::zero());
}

void ForwardedRequest::onCallerGone()
{
    if (m_progress == Progress::Ended)
        return;
    stopWaiting();
    if (m_attempt) {
        const bool wasSilent = m_attempt->isSent && !m_attempt->hasHead
            && m_context.loop.now() - m_attempt->started > firstEventTimeout();
        m_attempt->channel->cancel();
        if (wasSilent)
            recordDropped();
        endAttempt(wasSilent ? TargetOutcome::Lost : TargetOutcome::Cancelled);
    }
    m_progress = Progress::Ended;
    m_context.loop.cancel(m_deadlineTimer);
    record(RequestOutcome::CallerGone);
}

void ForwardedRequest::onCallerDrained()
{
    if (m_attempt)
        m_attempt->channel->setReading(true);
}

void ForwardedRequest::sendLocalResponse(RequestOutcome outcome, unsigned status,
                                         std::optional<Duration> retryAfter)
{
    m_status = status;
    m_responder.sendHead(m_context.protocol.localResponse(status, m_admitted.fields.id, retryAfter),
                         {BodyFraming::Kind::Sized, 0});
    finish(outcome);
}

void ForwardedRequest::finish(RequestOutcome outcome)
{
    m_progress = Progress::Ended;
    m_context.loop.cancel(m_deadlineTimer);
    record(outcome);
    m_responder.finishResponse();
}

void ForwardedRequest::abort(RequestOutcome outcome)
{
    m_progress = Progress::Ended;
    m_context.loop.cancel(m_deadlineTimer);
    record(outcome);
    m_responder.abortResponse();
}

void ForwardedRequest::record(RequestOutcome outcome)
{
    const Instant now = m_context.loop.now();
    RequestRecord record {
        .outcome = outcome,
        .id = m_admitted.fields.id,
        .route = m_admitted.route ? m_admitted.route->name : ClassId(),
        .customer = m_admitted.customer ? m_admitted.customer->name : CustomerId(),
        .service = m_admitted.service,
        .stream = m_admitted.fields.resumes,
        .beganVersion = m_continuation.versionName(),
        .lastEvent = m_lastEvent,
        .tier = m_admitted.tier,
        .generation = m_admitted.generation(),
        .status = m_status,
        .sends = m_sends,
        .mayHaveRun = m_mayHaveRun,
        .duration = now - m_arrived,
        .remaining = m_admitted.deadline - now,
        .timeToFirstByte = std::nullopt,
        .refusal = m_refusal,
        .limit = m_limitDecision,
        .suspect = suspectHash(m_fingerprint),
        .suspicion = m_suspicion,
    };
    if (m_firstByteTime)
        record.timeToFirstByte = *m_firstByteTime - m_arrived;
    recordRequest(record, m_context.log, m_context.metrics);
}

} // namespace Apricothook
