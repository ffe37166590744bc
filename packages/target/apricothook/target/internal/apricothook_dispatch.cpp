#include <apricothook/target/internal/apricothook_dispatch.hpp>

#include <apricothook/target/internal/apricothook_answer_head.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

constexpr std::uint32_t MaximumTriesWithoutProgress = 3;
/** The first resume goes at once; those after it wait, doubling, for a network to come back. */
constexpr Duration FirstRetryPause = std::chrono::milliseconds(100);
/** A little more than the last event: what a stream's end is known by. */
constexpr std::size_t OverlapBytes = 16;
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;

} // namespace

Dispatch::Dispatch(LoopContext &context, DispatchOrder order)
    : m_context(context)
    , m_order(std::move(order))
    , m_signal(std::make_shared<RoomSignal>(context.waker()))
    , m_wasSent(m_order.resumeOnly)
    , m_isResumable(m_order.kind == ServiceKind::Engine && !m_order.streamId.empty())
{
    m_order.answer->setWritableCallback([signal = m_signal] { signal->set(); });
    if (m_order.resumeOnly)
        resume();
    else
        send();
}

DispatchEnded Dispatch::neverBegun(const DispatchOrder &order)
{
    DispatchEnded ended;
    ended.dispatch = order.dispatch;
    ended.end = RunEnd::Cancelled;
    // An order to resume says that the request ran before, whatever became of this order.
    ended.isProvenNotRun = !order.resumeOnly;
    return ended;
}

void Dispatch::onTurn(Instant now)
{
    if (m_hasEnded)
        return;
    if (m_signal->take())
        giveRoom(now);
    if (m_reading == Reading::Unwanted || m_order.answer->isAbandoned()) {
        cancel();
    } else if (now >= m_order.deadlines.end) {
        cancelAtEngine();
        end(RunEnd::TimedOut);
    } else if (m_nextTry && now >= *m_nextTry) {
        resume();
    } else if (m_exchange && isSilent(now)) {
        breakOff(RunEnd::TimedOut);
    }
}

void Dispatch::cancel()
{
    if (m_hasEnded)
        return;
    cancelAtEngine();
    end(RunEnd::Cancelled);
}

// ---- Requests.

void Dispatch::send()
{
    HttpRequest request = this->request();
    const Instant now = m_context.now();
    m_isLate = now > m_order.notAfter || now >= m_order.deadlines.end;
    if (m_isLate)
        end(RunEnd::TimedOut);
    else if (!isWellFormed(request))
        end(RunEnd::Cancelled);
    else
        begin(std::move(request));
}

void Dispatch::resume()
{
    m_nextTry.reset();
    m_isResuming = true;
    HttpRequest request = resumeRequest();
    if (m_isResumable && isWellFormed(request))
        begin(std::move(request));
    else
        end(RunEnd::Cancelled);
}

void Dispatch::begin(HttpRequest request)
{
    m_reading = Reading::Discard;
    m_isPaused = false;
    m_hasBytes = false;
    m_begunAt = m_context.now();
    m_sentAt = m_begunAt;
    HttpExchangeOwner &self = *this;
    m_exchange = std::make_unique<HttpExchange>(m_context.multi(), std::move(request), self);
}

HttpRequest Dispatch::request() const
{
    HttpRequest request;
    request.address = m_order.address;
    request.method = m_order.method;
    request.path = m_order.path;
    request.body = m_order.body;
    request.headers = m_order.headers;
    std::erase_if(request.headers, [](const Header &header) {
        return headerValue({header}, "Idempotency-Key") != nullptr
            || headerValue({header}, "Engine-Stream") != nullptr;
    });
    if (!m_order.key.isEmpty())
        request.headers.push_back(Header {"Idempotency-Key", m_order.key.text()});
    if (m_isResumable)
        request.headers.push_back(Header {"Engine-Stream", m_order.streamId});
    const TargetOptions &options = m_context.options();
    const bool mayReuse = isSafeMethod(m_order.method) || options.reusesConnectionsForBodies;
    request.idleSeconds = mayReuse ? options.idleSeconds : 0;
    return request;
}

HttpRequest Dispatch::resumeRequest()
{
    const std::size_t written = m_order.answer->bytesWritten();
    // Another adapter wrote what is there. Without its last bytes the scanner would miss a last
    // event that lies across the border, and a whole answer would pass for a broken one.
    m_overlap = m_bytes == 0 ? std::min(written, OverlapBytes) : 0;
    HttpRequest request;
    request.address = m_order.address;
    request.method = "GET";
    request.path
        = "/v1/streams/" + m_order.streamId + "?offset=" + std::to_string(written - m_overlap);
    return request;
}

bool Dispatch::mayBegin()
{
    const Instant now = m_context.now();
    if (m_isResuming)
        return now < m_order.deadlines.end;
    // A process that was paused while it connected wakes up here, after others have given the
    // request up. Nothing lies between this look at the clock and the first byte.
    m_isLate = now > m_order.notAfter || now >= m_order.deadlines.end;
    m_wasSent = !m_isLate;
    return m_wasSent;
}

void Dispatch::onSent()
{
    m_sentAt = m_context.now();
}

// ---- Answers.

void Dispatch::onHead(const AnswerHead &head)
{
    m_reading = m_isResuming ? readingOfResume(head) : readingOfRequest(head);
}

Dispatch::Reading Dispatch::readingOfRequest(const AnswerHead &head)
{
    m_status = head.status;
    if (const std::string *boot = headerValue(head.headers, "Engine-Boot"))
        m_boot = *boot;
    m_isProvenNotRun = isProvenNotRun(head, m_order.kind);
    if (m_isProvenNotRun)
        return Reading::Discard;
    m_isResumable = m_isResumable && head.status == StatusOk && isEventStream(head);
    if (!m_order.answer->begin(endToEnd(head)))
        return Reading::Unwanted;
    return m_isResumable ? Reading::Stream : Reading::Plain;
}

Dispatch::Reading Dispatch::readingOfResume(const AnswerHead &head)
{
    if (head.status == StatusNotFound)
        return Reading::Gone;
    if (head.status != StatusOk)
        return Reading::Discard;
    const std::string *boot = headerValue(head.headers, "Engine-Boot");
    // A restarted engine that was asked again could run the stream anew and give other bytes: the
    // caller would get two answers sewn together.
    if (m_boot && boot != nullptr && *boot != *m_boot)
        return Reading::Gone;
    if (boot != nullptr)
        m_boot = *boot;
    m_status = head.status;
    m_order.answer->begin(endToEnd(head));
    const bool isOpen = m_order.answer->state() == AnswerStream::State::Open;
    return isOpen ? Reading::Stream : Reading::Unwanted;
}

BodyVerdict Dispatch::onBody(std::string_view bytes)
{
    if (m_reading == Reading::Gone || m_reading == Reading::Unwanted)
        return BodyVerdict::Abort;
    if (m_isPaused)
        return BodyVerdict::Pause;
    noteBytes();
    if (m_reading == Reading::Discard)
        return BodyVerdict::Taken;
    if (m_reading == Reading::Stream)
        m_scanner.feed(bytes);
    const std::size_t known = std::min(m_overlap, bytes.size());
    m_overlap -= known;
    bytes.remove_prefix(known);
    if (!bytes.empty()) {
        m_triesWithoutProgress = 0;
        m_bytes += bytes.size();
        m_isPaused = !m_order.answer->append(bytes);
    }
    return BodyVerdict::Taken;
}

void Dispatch::noteBytes()
{
    m_lastByteAt = m_context.now();
    m_hasBytes = true;
    if (m_firstByteAt || m_reading == Reading::Discard)
        return;
    m_firstByteAt = m_lastByteAt;
    m_firstByte = m_lastByteAt - m_sentAt;
    m_context.inbox().tryPost(DispatchStarted {m_order.dispatch, m_firstByte});
}

void Dispatch::onEnded(const ExchangeEnd &exchangeEnd)
{
    if (m_reading == Reading::Unwanted) {
        cancel();
    } else if (m_reading == Reading::Gone) {
        end(RunEnd::Crashed);
    } else if (exchangeEnd.isWhole && isAnswerWhole()) {
        m_order.answer->finish();
        end(RunEnd::Answered);
    } else {
        breakOff(RunEnd::Crashed);
    }
}

bool Dispatch::isAnswerWhole() const
{
    if (m_reading == Reading::Stream)
        return m_scanner.isDone();
    return m_reading == Reading::Plain;
}

// ---- Failures.

bool Dispatch::isSilent(Instant now) const
{
    const DispatchDeadlines &deadlines = m_order.deadlines;
    if (m_isPaused)
        return false; // The caller is slow, not the target.
    if (!m_exchange->wasSent())
        return now - m_begunAt >= deadlines.connect;
    if (m_hasBytes)
        return now - m_lastByteAt >= deadlines.betweenBytes;
    // A stream that was flowing is waited for less long than one that still waits for its turn.
    const bool wasFlowing = m_isResuming && m_firstByteAt.has_value();
    return now - m_sentAt >= (wasFlowing ? deadlines.betweenBytes : deadlines.firstByte);
}

bool Dispatch::canResume() const
{
    return m_isResumable && m_triesWithoutProgress < MaximumTriesWithoutProgress;
}

void Dispatch::giveRoom(Instant now)
{
    m_lastByteAt = now;
    if (std::exchange(m_isPaused, false) && m_exchange)
        m_exchange->resume();
}

/** The connection failed, broke or went silent. */
void Dispatch::breakOff(RunEnd why)
{
    m_exchange.reset();
    if (m_isProvenNotRun) {
        end(RunEnd::Refused);
    } else if (!m_wasSent) {
        end(m_isLate ? RunEnd::TimedOut : RunEnd::ConnectFailed);
    } else if (!canResume()) {
        end(why);
    } else {
        const std::uint32_t tries = m_triesWithoutProgress++;
        ++m_resumes;
        const Duration pause = tries == 0 ? Duration::zero() : FirstRetryPause * (1 << tries);
        m_nextTry = m_context.now() + pause;
    }
}

void Dispatch::cancelAtEngine()
{
    const bool mayRun = m_wasSent && !m_isProvenNotRun && m_order.kind == ServiceKind::Engine;
    if (mayRun && !m_order.streamId.empty())
        m_context.cancelStream(m_order.address, m_order.streamId);
}

void Dispatch::end(RunEnd end)
{
    if (std::exchange(m_hasEnded, true))
        return;
    m_exchange.reset();
    m_order.answer->setWritableCallback(nullptr);
    DispatchEnded ended;
    ended.dispatch = m_order.dispatch;
    ended.end = end;
    ended.isProvenNotRun = !m_wasSent || m_isProvenNotRun;
    ended.status = m_status;
    ended.outputTokens = m_scanner.tokens();
    ended.answerBytes = m_bytes;
    ended.resumes = m_resumes;
    ended.firstByte = m_firstByte;
    if (m_firstByteAt)
        ended.streaming = m_lastByteAt - *m_firstByteAt;
    ended.cachedTokens = m_scanner.cachedTokens();
    m_context.inbox().post(ended);
}

} // namespace Apricothook
