#include <apricothook/gateway/apricothook_forwarded_request.hpp>

#include <apricothook/http1/apricothook_http_status.hpp>

#include <apricothook/gateway/apricothook_gateway_event.hpp>
#include <apricothook/gateway/internal/apricothook_attempt_failure.hpp>

#include <algorithm>
#include <utility>

// ForwardedRequest: relays the target's response. The request is handled in
// apricothook_forwarded_request.cpp.

namespace Apricothook {

namespace {

/** Largest response body that is buffered completely, so that a failed attempt can be retried. */
constexpr std::size_t MaxBufferedBody = 1 << 20;
/** Time for the rest of a response whose head tells that the request wasn't run. */
constexpr std::chrono::milliseconds LongestRefusal {20};
/** Unsent bytes to a slow caller above which its target's connection is no longer read. */
constexpr std::size_t MaxUnsentBytes = 1 << 18;
/** The same while memory is short. */
constexpr std::size_t MaxUnsentBytesIfShort = 1 << 14;
/** Shortest gap between stream events after which another target resumes the stream. */
constexpr std::chrono::milliseconds ShortestStallTimeout {1000};
/** The same gap as a multiple of the route's objective for event gaps. */
constexpr int StallTimeoutFactor = 4;

TargetOutcome outcomeOf(ChannelFailure failure)
{
    return failure == ChannelFailure::Malformed ? TargetOutcome::Failed : TargetOutcome::Lost;
}

} // namespace

bool ForwardedRequest::isStreaming(const Attempt &attempt) const
{
    return m_admitted.route->isStream && attempt.head.status == HttpStatus::Ok;
}

void ForwardedRequest::onResponseHead(Attempt &attempt, const ResponseHead &head,
                                      const TargetResponseFields &fields)
{
    attempt.hasHead = true;
    attempt.head = head;
    reportTargetLimits(attempt, fields);
    if (fields.isMisdirected)
        m_context.targets.recordUnreachable(attempt.target.instance(), 1, m_context.loop.now());
    if (fields.isMisdirected || fields.isNotRun) {
        attempt.isNotRun = true;
        if (m_notRunTimer == 0)
            m_notRunTimer = m_context.loop.after(LongestRefusal, [this] {
                m_notRunTimer = 0;
                endRefusals();
            });
        return;
    }
    // The caller would take the error's body and end for a part of the stream to be resumed.
    if (m_progress != Progress::Nothing && head.status != HttpStatus::Ok) {
        attempt.channel->cancel();
        m_mayHaveRun = true;
        onAttemptFailed(attempt, TargetOutcome::Failed, "not-resumed");
        return;
    }
    const bool isSuccess = head.status >= HttpStatus::Ok && head.status < HttpStatus::FirstRedirect;
    if (isSuccess && (!fields.isSigned || head.headers.find("Content-Encoding"))) {
        attempt.channel->cancel();
        m_mayHaveRun = true;
        onAttemptFailed(attempt, TargetOutcome::Failed, "unsigned");
    }
}

void ForwardedRequest::endRefusals()
{
    for (Attempt *attempt : {m_silence.backup(), m_attempt.get()}) {
        if (!attempt || !attempt->isNotRun)
            continue;
        attempt->channel->cancel();
        onAttemptFailed(*attempt, TargetOutcome::Full, "not-run");
    }
}

void ForwardedRequest::reportTargetLimits(const Attempt &attempt,
                                          const TargetResponseFields &fields)
{
    // Another target answered, which got the address of the one that was meant.
    if (fields.isMisdirected)
        return;
    const TargetEntry &target = attempt.target;
    if (fields.limitError) {
        m_context.log.write(LogEvent(GatewayEvent::TargetLimitInvalid)
                                .forRequest(m_admitted.fields.id)
                                .with("target", target.id.text())
                                .with("error", std::string(nameOf(*fields.limitError))));
        return;
    }
    TargetLimitReport report {.target = targetHash(target.instance()),
                              .perSecond = fields.limitPerSecond,
                              .sent = attempt.started,
                              .received = m_context.loop.now()};
    m_context.targetLimitReported(TargetLimitKind::Requests, report);
    report.perSecond = fields.rejectionsPerSecond;
    m_context.targetLimitReported(TargetLimitKind::Rejections, report);
}

void ForwardedRequest::onResponseBody(Attempt &attempt, std::string_view bytes)
{
    if (attempt.isNotRun)
        return;
    if (!isBackup(attempt))
        m_silence.onBytes();
    if (isStreaming(attempt)) {
        forwardEvents(attempt, bytes);
        return;
    }
    attempt.body.append(bytes);
    if (attempt.body.size() > MaxBufferedBody)
        forwardBufferedBody(attempt);
    else
        holdBufferedResponses();
}

void ForwardedRequest::holdBufferedResponses()
{
    std::size_t bytes = 0;
    for (const Attempt *attempt : {m_silence.backup(), m_attempt.get()})
        bytes += attempt ? attempt->body.capacity() : 0;
    m_responder.holdResponse(bytes);
}

void ForwardedRequest::forwardBufferedBody(Attempt &attempt)
{
    select(attempt);
    if (m_progress == Progress::Nothing)
        forwardHead(attempt.head, {BodyFraming::Kind::Chunked, 0});
    m_responder.sendBody(std::exchange(attempt.body, {}));
    holdBufferedResponses();
    limitUnsentBytes(attempt);
}

void ForwardedRequest::limitUnsentBytes(Attempt &attempt)
{
    const std::size_t most = m_context.memory.isShort() ? MaxUnsentBytesIfShort : MaxUnsentBytes;
    if (m_responder.unsentBytes() <= most)
        return;
    attempt.channel->setReading(false);
    m_silence.pause();
}

void ForwardedRequest::forwardHead(const ResponseHead &head, BodyFraming framing)
{
    m_progress = Progress::Head;
    m_status = head.status;
    m_firstByteTime = m_context.loop.now();
    m_responder.sendHead(m_context.protocol.callerResponse(head), framing);
}

void ForwardedRequest::forwardEvents(Attempt &attempt, std::string_view bytes)
{
    const CompleteEvents events = attempt.scanner.feed(bytes);
    if (attempt.scanner.isTooLarge()) {
        attempt.channel->cancel();
        m_mayHaveRun = true;
        onAttemptFailed(attempt, TargetOutcome::Failed, "event-too-large");
        return;
    }
    if (events.count == 0)
        return;
    select(attempt);
    recordEvents(attempt, events);
    if (m_progress == Progress::Nothing)
        forwardHead(attempt.head, {BodyFraming::Kind::Chunked, 0});
    m_responder.sendBody(events.bytes);
    recordPause();
    m_lastEvent = events.lastId ? events.lastId : m_lastEvent;
    if (m_admitted.route->isRetryable())
        m_silence.watch(std::max<Duration>(ShortestStallTimeout,
                                           StallTimeoutFactor * m_admitted.route->gapObjective));
    limitUnsentBytes(attempt);
}

void ForwardedRequest::recordPause()
{
    const Instant now = m_context.loop.now();
    if (m_lastEventForwarded) {
        m_longestPause
            = std::max(m_longestPause.value_or(Duration::zero()), now - *m_lastEventForwarded);
    }
    m_lastEventForwarded = now;
}

void ForwardedRequest::recordEvents(Attempt &attempt, const CompleteEvents &events)
{
    const Instant now = m_context.loop.now();
    const TargetInstance target = attempt.target.instance();
    // A pause of the target tells nothing of its speed.
    const bool wasSilent = std::exchange(attempt.isSilent, false);
    if (!std::exchange(attempt.hasFirstEvent, true)) {
        attempt.firstEvent = now;
        reportPermit(attempt, PermitUse::Sound);
        m_continuation.onFirstEvent(m_admitted, attempt.target);
        m_context.targets.firstEventReceived(target, m_admitted.size, now - attempt.started);
    } else if (TrackedTarget *tracked = m_context.targets.find(target); tracked && !wasSilent) {
        tracked->speed.addGap((now - attempt.lastEvent) / static_cast<int>(events.count));
    }
    attempt.lastEvent = now;
    m_context.suspectGuard->recordProgress(m_traits, answerTimes(attempt));
}

void ForwardedRequest::onResponseComplete(Attempt &attempt)
{
    if (attempt.isNotRun)
        onAttemptFailed(attempt, TargetOutcome::Full, "not-run");
    else if (isStreaming(attempt))
        completeStream(attempt);
    else
        completeNonStream(attempt);
}

void ForwardedRequest::completeStream(Attempt &attempt)
{
    const bool isCut = !attempt.scanner.incompleteEvent().empty();
    const bool hasAll = attempt.hasFirstEvent || m_lastEvent;
    // The connection of a target that crashes ends too.
    if (attempt.head.bodyEndsAtClose && (isCut || !hasAll)) {
        onResponseFailed(attempt, ChannelFailure::Broken);
        return;
    }
    if (isCut) {
        m_mayHaveRun = true;
        onAttemptFailed(attempt, TargetOutcome::Failed, "cut-event");
        return;
    }
    select(attempt);
    if (m_progress == Progress::Nothing)
        forwardHead(attempt.head, {BodyFraming::Kind::Chunked, 0});
    endAttempt(std::move(m_attempt), TargetOutcome::Served);
    finish(RequestOutcome::Answered);
}

void ForwardedRequest::completeNonStream(Attempt &attempt)
{
    const bool isFailure = attempt.head.status >= HttpStatus::FirstServerError;
    if (isFailure && m_progress == Progress::Nothing) {
        m_mayHaveRun = true;
        m_failedResponse = {attempt.head, attempt.body};
        recordCompleted(attempt);
        onAttemptFailed(attempt, TargetOutcome::Failed, "error-status");
        return;
    }
    select(attempt);
    if (m_progress == Progress::Nothing)
        forwardHead(attempt.head, {BodyFraming::Kind::Sized, attempt.body.size()});
    m_responder.sendBody(attempt.body);
    endAttempt(std::move(m_attempt), TargetOutcome::Served);
    finish(RequestOutcome::Answered);
}

void ForwardedRequest::onResponseFailed(Attempt &attempt, ChannelFailure failure)
{
    if (attempt.isNotRun) {
        onAttemptFailed(attempt, TargetOutcome::Full, "not-run");
        return;
    }
    m_mayHaveRun |= failure != ChannelFailure::NotConnected;
    if (failure == ChannelFailure::Broken)
        recordDropped(attempt);
    onAttemptFailed(attempt, outcomeOf(failure), AttemptFailure::causeOf(failure));
}

} // namespace Apricothook
