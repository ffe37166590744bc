#include <apricothook/gateway/apricothook_forwarded_request.hpp>

#include <apricothook/http1/apricothook_http_status.hpp>

#include <apricothook/gateway/apricothook_gateway_event.hpp>
#include <apricothook/gateway/internal/apricothook_attempt_failure.hpp>
#include <apricothook/gateway/internal/apricothook_attempt_log.hpp>
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
/** Retry-After if every target refused the request for lack of free slots. */
constexpr std::chrono::milliseconds DefaultRetryAfter {500};
/** A body up to this size is sent together with its head. */
constexpr std::size_t LargestCopiedBody = 16384;

} // namespace

ForwardedRequest::ForwardedRequest(GatewayContext &context, ExchangeId id, ReceivedRequest request,
                                   CallerResponder &responder)
    : m_context(context)
    , m_id(id)
    , m_shared(std::make_shared<const ReceivedRequest>(std::move(request)))
    , m_received(*m_shared)
    , m_responder(responder)
    , m_arrived(context.loop.now())
    , m_silence(context.loop, *this)
    , m_continuation(context, id)
{
}

ForwardedRequest::~ForwardedRequest()
{
    m_context.loop.cancel(m_deadlineTimer);
    m_context.loop.cancel(m_holdTimer);
    m_context.loop.cancel(m_notRunTimer);
}

void ForwardedRequest::begin()
{
    const Result<void, AdmissionRefusal> admitted = admit(m_received, m_context, m_admitted);
    m_lastEvent = m_admitted.fields.lastEventId;
    if (!admitted) {
        const AdmissionRefusal &refusal = admitted.error();
        m_forecast = refusal.shutdown;
        sendLocalResponse(refusal.outcome, refusal.status, refusal.retryAfter);
        return;
    }
    if (m_admitted.deadline <= m_arrived) {
        sendLocalResponse(RequestOutcome::TimedOut, HttpStatus::Unavailable, Duration::zero());
        return;
    }
    m_traits = traitsOf(m_received, m_admitted);
    const TrialDecision suspicion = m_context.suspectGuard->decide(m_traits);
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
    m_silence.stop();
}

void ForwardedRequest::submit()
{
    m_waiting = true;
    const bool isFirst = m_sends == 0;
    const Instant now = m_context.loop.now();
    m_rank = rankOf(m_context, m_admitted);
    // A refusal may end this exchange, so only the context is used afterwards.
    GatewayContext &context = m_context;
    m_context.dispatcher.submit({.exchange = m_id,
                                 .service = m_admitted.service,
                                 .rank = m_rank,
                                 .size = m_admitted.size,
                                 .arrived = isFirst ? m_arrived : now,
                                 .objective = m_admitted.route->objective,
                                 .deadline = m_admitted.deadline,
                                 .constraint = constraint()},
                                now);
    // Sets the timer for the turn of a queued request, and tells the other members that it waits.
    if (context.policies.slotTurns && context.dispatcher.waiting() > 0)
        context.capacityFreed();
}

void ForwardedRequest::onRefused(const RefusalDetails &facts)
{
    m_waiting = false;
    if (refuseBackup("no-room"))
        return;
    m_refusal = facts;
    if (m_mayHaveRun || m_progress != Progress::Nothing || m_failedResponse)
        failRequest();
    else
        sendLocalResponse(RequestOutcome::NoRoom, HttpStatus::Unavailable, facts.retryAfter);
}

void ForwardedRequest::onPlaced(const TargetEntry &target, const SlotFill &fill)
{
    m_waiting = false;
    m_slotFill = fill;
    if (outlastsProcess()) {
        releaseSlot(target);
        refuseAtShutdown();
        return;
    }
    // Responses to requests that waited may have taken up the room for this one's.
    if (m_context.memory.isFull() && m_sends == 0) {
        releaseSlot(target);
        sendLocalResponse(RequestOutcome::NoMemory, HttpStatus::Unavailable,
                          retryAfterNoRoom(m_context.random));
        return;
    }
    const TrackedTarget *tracked = m_context.targets.find(target.id);
    if (const std::optional<LimitedUnits> units = unitsFor(tracked, m_context.bounds)) {
        acquireTargetUnit(target, *units);
        return;
    }
    m_targetUnit.reset();
    sendOrTry(target);
}

AttemptLog ForwardedRequest::attemptLog()
{
    return {m_context,
            {.request = m_admitted,
             .arrived = m_arrived,
             .suspect = m_traits.content,
             .rank = m_rank,
             .beganVersion = m_continuation.versionName(),
             .lastEvent = m_lastEvent,
             .targetUnit = m_targetUnit,
             .turnWait = m_slotFill.turnWait,
             .sends = m_sends,
             .runs = m_runs,
             .mayHaveRun = m_mayHaveRun,
             .isForwarded = m_progress != Progress::Nothing,
             .isTrial = m_trial.has_value()}};
}

void ForwardedRequest::send(const TargetEntry &target)
{
    if (m_silence.isPlacing()) {
        sendBackup(target);
        return;
    }
    m_attempt = makeAttempt(target);
    startAttempt(*m_attempt);
}

std::unique_ptr<Attempt> ForwardedRequest::makeAttempt(const TargetEntry &target)
{
    ++m_sends;
    m_triedTargets.insert(target.instance());
    AttemptEvents &events = *this;
    auto attempt = std::make_unique<Attempt>(events, target, m_context.loop.now());
    attempt->permit = std::exchange(m_permit, std::nullopt);
    return attempt;
}

void ForwardedRequest::startAttempt(Attempt &attempt)
{
    attempt.channel = &m_context.channels.acquire(attempt.target, m_admitted.fields.id,
                                                  m_admitted.route->isRetryable());
    attemptLog().placed(attempt, isBackup(attempt));
    attempt.start(m_admitted.fields.id, m_received.head.method == "HEAD");
}

WrittenRequest ForwardedRequest::writeRequest(Attempt &attempt)
{
    const Instant now = m_context.loop.now();
    // A backup takes its retry once it has a connection; one that finds none costs nothing.
    if (isBackup(attempt) && !takeRetryFromBudget(now)) {
        withdrawBackup();
        return {};
    }
    attempt.isSent = true;
    attempt.started = now;
    attempt.lastEvent = now;
    const TargetRequestFields fields {
        .timeout = std::max(m_admitted.deadline - now, Duration::zero()),
        .target = attempt.target.id,
        .customer = m_admitted.customer ? m_admitted.customer->name : CustomerId(),
        .lastEventId = m_lastEvent,
    };
    const RequestHead head = m_context.protocol.targetRequest(m_received.head, fields);
    const bool hasBody = !m_received.body.empty() || m_received.head.headers.find("Content-Length")
        || m_received.head.headers.find("Transfer-Encoding");
    const BodyFraming framing
        = {hasBody ? BodyFraming::Kind::Sized : BodyFraming::Kind::None, m_received.body.size()};
    if (m_admitted.route->isRetryable() && !isBackup(attempt))
        m_silence.watch(firstEventTimeout());
    std::string written = writeRequestHead(head, framing);
    if (m_received.body.size() > LargestCopiedBody)
        return {std::move(written), std::shared_ptr<const std::string>(m_shared, &m_received.body)};
    return {written + m_received.body, nullptr};
}

void ForwardedRequest::onAttemptFailed(Attempt &attempt, TargetOutcome outcome,
                                       std::string_view cause)
{
    const bool wasBackup = isBackup(attempt);
    attemptLog().failed(attempt, cause, wasBackup);
    m_failureCause = cause;
    // Without a connection the target received nothing: neither a run nor a retry is counted.
    const bool hasArrived = cause != AttemptFailure::NotConnected;
    m_runs += hasArrived && outcome != TargetOutcome::Full ? 1 : 0;
    if (outcome == TargetOutcome::Full)
        withdrawTrial();
    if (!hasArrived && m_trial) {
        giveTrialUnitBack();
        withdrawTrial();
    }
    // The target may be reached through another daemon.
    if (!hasArrived && attempt.channel->relay())
        m_triedTargets.erase(attempt.target.instance());
    endAttempt(release(attempt), outcome);
    if (wasBackup)
        failBackup(hasArrived);
    else
        goOn(hasArrived);
}

void ForwardedRequest::goOn(bool hasArrived)
{
    if (m_silence.backup()) {
        m_attempt = m_silence.takeBackup();
        if (m_attempt->isSent)
            m_silence.watch(firstEventTimeout());
        return;
    }
    // The search for a backup becomes that for the next attempt.
    const bool isPlacing = m_silence.isPlacing();
    m_silence.stop();
    m_held = {};
    if (hasArrived ? mayRetry() : m_sends < MaxSends) {
        if (!isPlacing)
            submit();
        return;
    }
    stopWaiting();
    failRequest();
}

std::string_view ForwardedRequest::retryObstacle() const
{
    // A part of a body can't be followed by that of another run; a stream goes on after an event.
    const bool canGoOn = m_progress == Progress::Nothing || m_continuation.version();
    if (!canGoOn || (m_mayHaveRun && !m_admitted.route->isRetryable()))
        return "not-repeatable";
    if (!m_context.policies.repeats)
        return "policy";
    if (m_sends - m_unconnectedBackups >= MaxSends
        || m_runs >= std::max(m_admitted.route->maximumAttempts, 1U))
        return "attempts";
    if (m_admitted.deadline - m_context.loop.now() <= MinTimeToRetry)
        return "deadline";
    const bool isQuarantined
        = m_context.suspectGuard->decide(m_traits).verdict == TrialVerdict::Quarantined;
    return m_trial || isQuarantined ? "suspect" : std::string_view();
}

bool ForwardedRequest::mayRetry()
{
    return retryObstacle().empty() && takeRetryFromBudget(m_context.loop.now());
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

void ForwardedRequest::endAttempt(std::unique_ptr<Attempt> attempt, TargetOutcome outcome)
{
    const Instant now = m_context.loop.now();
    const TargetInstance target = attempt->target.instance();
    if (outcome == TargetOutcome::Served)
        recordCompleted(*attempt);
    reportPermit(*attempt, permitUseOf(*attempt, outcome));
    if (outcome == TargetOutcome::Lost)
        m_context.paths.recordLost(attempt->target, attempt->channel->relay(), attempt->loss());
    m_context.targets.requestEnded(target, m_admitted.size, outcome, now - attempt->started,
                                   attempt->hasFirstEvent, now);
    if (outcome == TargetOutcome::Full)
        m_context.targetFull(target);
    if (outcome == TargetOutcome::Served)
        m_context.urgency.recordHoldTime(m_admitted.service, m_admitted.route->name,
                                         m_admitted.route->tier, now - attempt->started);
    m_context.capacityFreed();
}

void ForwardedRequest::failRequest()
{
    if (m_progress != Progress::Nothing) {
        abort(RequestOutcome::TargetFailed);
    } else if (m_failedResponse) {
        forwardHead(m_failedResponse->head,
                    {BodyFraming::Kind::Sized, m_failedResponse->body.size()});
        m_responder.sendBody(m_failedResponse->body);
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
    if (m_attempt)
        m_failureCause = "deadline";
    stopWaiting();
    cancelAtDeadline(m_silence.takeBackup());
    cancelAtDeadline(std::move(m_attempt));
    if (m_progress != Progress::Nothing)
        abort(RequestOutcome::TimedOut);
    else if (m_failedResponse)
        failRequest();
    else if (m_mayHaveRun)
        sendLocalResponse(RequestOutcome::TimedOut, HttpStatus::GatewayTimeout, std::nullopt);
    else
        sendLocalResponse(RequestOutcome::TimedOut, HttpStatus::Unavailable, Duration::zero());
}

void ForwardedRequest::cancelAtDeadline(std::unique_ptr<Attempt> attempt)
{
    if (!attempt)
        return;
    m_mayHaveRun |= attempt->isSent;
    if (attempt->isSent && !attempt->hasHead)
        recordDropped(*attempt);
    const bool hasFirstEvent = attempt->hasFirstEvent;
    cancelAttempt(std::move(attempt),
                  hasFirstEvent ? TargetOutcome::Cancelled : TargetOutcome::Lost);
}

void ForwardedRequest::onCallerGone(std::string_view cause)
{
    if (m_progress == Progress::Ended)
        return;
    m_failureCause = cause;
    stopWaiting();
    cancelForLeftCaller(m_silence.takeBackup());
    cancelForLeftCaller(std::move(m_attempt));
    m_progress = Progress::Ended;
    m_silence.stop();
    m_context.loop.cancel(m_deadlineTimer);
    record(RequestOutcome::CallerGone);
}

void ForwardedRequest::cancelForLeftCaller(std::unique_ptr<Attempt> attempt)
{
    if (!attempt)
        return;
    const bool wasSilent = attempt->isSent && !attempt->hasHead
        && m_context.loop.now() - attempt->started > firstEventTimeout();
    if (wasSilent)
        recordDropped(*attempt);
    cancelAttempt(std::move(attempt), wasSilent ? TargetOutcome::Lost : TargetOutcome::Cancelled);
}

void ForwardedRequest::cancelAttempt(std::unique_ptr<Attempt> attempt, TargetOutcome outcome)
{
    attempt->channel->cancel();
    endAttempt(std::move(attempt), outcome);
}

void ForwardedRequest::onCallerDrained()
{
    if (!m_attempt)
        return;
    m_attempt->channel->setReading(true);
    m_silence.resume();
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
    m_silence.stop();
    m_context.loop.cancel(m_deadlineTimer);
    record(outcome);
    m_responder.finishResponse();
}

void ForwardedRequest::abort(RequestOutcome outcome)
{
    m_progress = Progress::Ended;
    m_silence.stop();
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
        .cause = m_failureCause,
        .duration = now - m_arrived,
        .remaining = std::nullopt,
        .timeToFirstByte = std::nullopt,
        .longestPause = m_longestPause,
        .gapObjective = m_admitted.route ? m_admitted.route->gapObjective : Duration::zero(),
        .refusal = m_refusal,
        .limit = m_limitDecision,
        .suspect = m_suspicion ? m_suspicion->trait : m_traits.content,
        .promptParts = m_admitted.fields.promptParts,
        .suspicion = m_suspicion,
        .shutdown = m_forecast,
    };
    if (m_admitted.route) {
        record.remaining = m_admitted.deadline - now;
        recordResponseTime(outcome, now - m_arrived);
    }
    if (m_firstByteTime)
        record.timeToFirstByte = *m_firstByteTime - m_arrived;
    recordRequest(record, m_context.log, m_context.metrics);
}

void ForwardedRequest::recordResponseTime(RequestOutcome outcome, Duration taken)
{
    const ClassId &route = m_admitted.route->name;
    if (outcome == RequestOutcome::Answered || outcome == RequestOutcome::TimedOut)
        m_context.responseTimes.recordComplete(route, taken, m_context.loop.now());
    else
        m_context.responseTimes.recordIncomplete(route, taken, m_context.loop.now());
}

} // namespace Apricothook
