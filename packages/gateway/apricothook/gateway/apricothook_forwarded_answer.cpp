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
/** Unsent bytes to a slow caller above which its target's connection is no longer read. */
constexpr std::size_t MaxUnsentBytes = 1 << 18;
/** Shortest gap between stream events after which another target resumes the stream. */
constexpr std::chrono::milliseconds ShortestStallTimeout {1000};
/** The same gap as a multiple of the route's objective for event gaps. */
constexpr int StallTimeoutFactor = 4;

TargetOutcome outcomeOf(ChannelFailure failure)
{
    return failure == ChannelFailure::Malformed ? TargetOutcome::Failed : TargetOutcome::Lost;
}

} // namespace

bool ForwardedRequest::isStreaming() const
{
    return m_admitted.route->isStream && m_attempt && m_attempt->head.status == HttpStatus::Ok;
}

void ForwardedRequest::onResponseHead(const ResponseHead &head, const TargetResponseFields &fields)
{
    m_attempt->hasHead = true;
    m_attempt->head = head;
    reportTargetLimits(fields);
    if (fields.isMisdirected)
        m_context.targets.recordUnreachable(m_attempt->target.instance(), 1, m_context.loop.now());
    if (fields.isMisdirected || fields.isNotRun) {
        m_attempt->isNotRun = true;
        return;
    }
    // The caller would take the error's body and end for a part of the stream to be resumed.
    if (m_progress != Progress::Nothing && head.status != HttpStatus::Ok) {
        m_attempt->channel->cancel();
        m_mayHaveRun = true;
        onAttemptFailed(TargetOutcome::Failed, "not-resumed");
        return;
    }
    const bool isSuccess = head.status >= HttpStatus::Ok && head.status < HttpStatus::FirstRedirect;
    if (isSuccess && (!fields.isSigned || head.headers.find("Content-Encoding"))) {
        m_attempt->channel->cancel();
        m_mayHaveRun = true;
        onAttemptFailed(TargetOutcome::Failed, "unsigned");
    }
}

void ForwardedRequest::reportTargetLimits(const TargetResponseFields &fields)
{
    // Another target answered, which got the address of the one that was meant.
    if (fields.isMisdirected)
        return;
    const TargetEntry &target = m_attempt->target;
    if (fields.limitError) {
        m_context.log.write(LogEvent(GatewayEvent::TargetLimitInvalid)
                                .forRequest(m_admitted.fields.id)
                                .with("target", target.id.text())
                                .with("error", std::string(nameOf(*fields.limitError))));
        return;
    }
    TargetLimitReport report {.target = targetHash(target.instance()),
                              .perSecond = fields.limitPerSecond,
                              .sent = m_attempt->started,
                              .received = m_context.loop.now()};
    m_context.targetLimitReported(TargetLimitKind::Requests, report);
    report.perSecond = fields.rejectionsPerSecond;
    m_context.targetLimitReported(TargetLimitKind::Rejections, report);
}

void ForwardedRequest::onResponseBody(std::string_view bytes)
{
    if (m_attempt->isNotRun)
        return;
    if (isStreaming()) {
        forwardEvents(bytes);
        return;
    }
    m_attempt->body.append(bytes);
    if (m_attempt->body.size() > MaxBufferedBody)
        forwardBufferedBody();
}

void ForwardedRequest::forwardBufferedBody()
{
    if (m_progress == Progress::Nothing)
        forwardHead({BodyFraming::Kind::Chunked, 0});
    m_responder.sendBody(std::exchange(m_attempt->body, {}));
    if (m_responder.unsentBytes() > MaxUnsentBytes)
        m_attempt->channel->setReading(false);
}

void ForwardedRequest::forwardHead(BodyFraming framing)
{
    m_progress = Progress::Head;
    m_status = m_attempt->head.status;
    m_firstByteTime = m_context.loop.now();
    m_responder.sendHead(m_context.protocol.callerResponse(m_attempt->head), framing);
}

void ForwardedRequest::forwardEvents(std::string_view bytes)
{
    const CompleteEvents events = m_scanner.feed(bytes);
    if (events.count == 0)
        return;
    const Instant now = m_context.loop.now();
    if (!std::exchange(m_attempt->hasFirstEvent, true)) {
        reportPermit(PermitUse::Sound);
        m_continuation.onFirstEvent(m_admitted, m_attempt->target);
        m_context.targets.firstEventReceived(m_attempt->target.instance(), m_admitted.size,
                                             now - m_attempt->started);
    } else if (TrackedTarget *target = m_context.targets.find(m_attempt->target.instance())) {
        target->speed.addGap((now - m_attempt->lastEvent) / static_cast<int>(events.count));
    }
    m_attempt->lastEvent = now;
    if (m_progress == Progress::Nothing)
        forwardHead({BodyFraming::Kind::Chunked, 0});
    m_responder.sendBody(events.bytes);
    m_lastEvent = events.lastId ? events.lastId : m_lastEvent;
    if (m_responder.unsentBytes() > MaxUnsentBytes)
        m_attempt->channel->setReading(false);
    if (m_admitted.route->isRetryable())
        armSilenceTimer(std::max<Duration>(ShortestStallTimeout,
                                           StallTimeoutFactor * m_admitted.route->gapObjective));
}

void ForwardedRequest::onResponseComplete()
{
    if (m_attempt->isNotRun)
        onAttemptFailed(TargetOutcome::Full, "not-run");
    else if (isStreaming())
        completeStream();
    else
        completeNonStream();
}

void ForwardedRequest::completeStream()
{
    if (!m_scanner.incompleteEvent().empty()) {
        m_mayHaveRun = true;
        onAttemptFailed(TargetOutcome::Failed, "cut-event");
        return;
    }
    if (m_progress == Progress::Nothing)
        forwardHead({BodyFraming::Kind::Chunked, 0});
    endAttempt(TargetOutcome::Served);
    finish(RequestOutcome::Answered);
}

void ForwardedRequest::completeNonStream()
{
    const bool isFailure = m_attempt->head.status >= HttpStatus::FirstServerError;
    if (isFailure && m_progress == Progress::Nothing) {
        m_mayHaveRun = true;
        m_failedAttempt = m_attempt;
        recordCompleted();
        onAttemptFailed(TargetOutcome::Failed, "error-status");
        return;
    }
    if (m_progress == Progress::Nothing)
        forwardHead({BodyFraming::Kind::Sized, m_attempt->body.size()});
    m_responder.sendBody(m_attempt->body);
    endAttempt(TargetOutcome::Served);
    finish(RequestOutcome::Answered);
}

void ForwardedRequest::onResponseFailed(ChannelFailure failure)
{
    if (m_attempt->isNotRun) {
        onAttemptFailed(TargetOutcome::Full, "not-run");
        return;
    }
    m_mayHaveRun |= failure != ChannelFailure::NotConnected;
    if (failure == ChannelFailure::Broken)
        recordDropped();
    onAttemptFailed(outcomeOf(failure), AttemptFailure::causeOf(failure));
}

} // namespace Apricothook
