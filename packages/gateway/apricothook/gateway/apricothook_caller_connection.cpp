#include <apricothook/gateway/apricothook_caller_connection.hpp>

#include <apricothook/http1/apricothook_http_status.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";

unsigned statusOf(MessageError error)
{
    switch (error) {
    case MessageError::HeadTooLarge:
        return HttpStatus::HeadersTooLarge;
    case MessageError::BodyTooLarge:
        return HttpStatus::TooLarge;
    case MessageError::Malformed:
    case MessageError::Truncated:
        break;
    }
    return HttpStatus::BadRequest;
}

} // namespace

CallerConnection::CallerConnection(EventLoop &loop, CallerRequestHandler &handler, int descriptor,
                                   CloseHandler closed)
    : m_loop(loop)
    , m_handler(handler)
    , m_closeHandler(std::move(closed))
    , m_reader(handler.messageLimits())
    , m_share(std::in_place, handler.memory(), static_cast<MemoryShareOwner &>(*this))
    , m_socket(loop, *this, descriptor, UnreadBytes::AreKept)
{
    m_answered = m_loop.now();
    m_share->record(HeldFor::Connection, ConnectionBytes);
    limitTime(&CallerRequestHandler::idleTimeout, &CallerConnection::onIdleTimeout);
}

CallerConnection::~CallerConnection()
{
    m_loop.cancel(m_timer);
    m_loop.cancel(m_uploadTimer);
    m_loop.cancel(m_turnTimer);
}

void CallerConnection::setTimer(Duration delay, void (CallerConnection::*onTime)())
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.after(delay, [this, onTime] {
        m_timer = 0;
        (this->*onTime)();
    });
}

void CallerConnection::limitTime(TimeLimit limit, void (CallerConnection::*onTime)())
{
    m_limitedSince = m_loop.now();
    m_longestTime = (m_handler.*limit)();
    setLimitTimer(limit, onTime);
}

void CallerConnection::setLimitTimer(TimeLimit limit, void (CallerConnection::*onTime)())
{
    m_loop.cancel(m_timer);
    const Duration left = m_limitedSince + m_longestTime - m_loop.now();
    m_timer = m_loop.after(left, [this, limit, onTime] {
        m_timer = 0;
        m_longestTime = std::max(m_longestTime, (m_handler.*limit)());
        if (m_loop.now() < m_limitedSince + m_longestTime)
            setLimitTimer(limit, onTime);
        else
            (this->*onTime)();
    });
}

bool CallerConnection::isIdle() const
{
    return !m_answering && !m_lingering && m_input.empty() && !m_reader.hasStarted();
}

void CallerConnection::closeIfIdle()
{
    m_closesWhenSent = true;
    if (isIdle() && m_socket.unsentBytes() == 0)
        closeAfterPoll();
}

void CallerConnection::closeAfterPoll()
{
    // Closing with unread bytes resets the connection. The timer is replaced if a request arrives.
    setTimer(Duration::zero(), &CallerConnection::closeIdle);
}

void CallerConnection::closeAtProcessEnd()
{
    close("process-ends");
}

void CallerConnection::close(std::string_view cause)
{
    m_loop.cancel(m_timer);
    m_loop.cancel(m_uploadTimer);
    m_loop.cancel(m_turnTimer);
    if (m_socket.isOpen()) {
        m_socket.close();
        reportCut(true, cause);
    }
    // The memory may be gone before this object is.
    m_share.reset();
    if (const CloseHandler closed = std::exchange(m_closeHandler, nullptr))
        closed(*this);
}

void CallerConnection::onData(std::string_view bytes)
{
    if (m_lingering) {
        m_drained += bytes.size();
        if (m_drained > m_handler.messageLimits().bodyBytes + DrainedSlack) {
            m_socket.setReading(false);
            setTimer(Duration::zero(), &CallerConnection::closeLingering);
        }
        return;
    }
    if (m_discardsInput)
        return;
    m_share->recordProgress(bytes.size());
    m_input.append(bytes);
    if (mayReadRequest())
        readRequests();
    updateReading();
    updateShare();
}

void CallerConnection::updateReading()
{
    const bool hasRoom = !m_awaitsDrain && m_input.size() <= MaxPipelinedBytes;
    m_socket.setReading(hasRoom || m_lingering || m_discardsInput);
}

void CallerConnection::readRequests()
{
    // finishResponse() calls this again if begin() answers the request synchronously.
    if (std::exchange(m_inReadRequests, true))
        return;
    for (unsigned requests = 0;
         mayReadRequest() && !m_lingering && m_socket.isOpen() && !m_input.empty(); ++requests) {
        if (requests == MaxRequestsInRow)
            yieldTurn();
        else if (!readRequest())
            break;
    }
    m_inReadRequests = false;
}

void CallerConnection::yieldTurn()
{
    m_awaitsTurn = true;
    m_turnTimer = m_loop.after(Duration::zero(), [this] {
        m_turnTimer = 0;
        m_awaitsTurn = false;
        readRequests();
        updateReading();
        updateShare();
    });
}

bool CallerConnection::readRequest()
{
    if (!m_reader.hasStarted()) {
        m_receiveStarted = m_loop.now();
        m_reader = RequestReader(m_handler.messageLimits());
        limitTime(&CallerRequestHandler::headTimeout, &CallerConnection::onHeadTimeout);
    }
    const Result<std::size_t, MessageError> taken = m_reader.feed(m_input);
    if (!taken) {
        refuse(taken.error());
        return false;
    }
    m_input.erase(0, taken.value());
    if (m_input.empty() && m_input.capacity() > MaxSpareInput)
        m_input = std::string();
    const bool hadHead = m_headComplete;
    if (m_reader.hasHead() && !m_reader.isComplete() && needsAcceptance(hadHead) && !acceptUpload())
        return false;
    if (m_reader.hasHead() && !std::exchange(m_headComplete, true)) {
        const std::optional<std::string_view> expect = m_reader.head().headers.find("Expect");
        if (expect && equalsIgnoringCase(*expect, "100-continue") && !m_reader.isComplete())
            m_socket.send(Continue);
    }
    if (m_headComplete)
        limitTime(&CallerRequestHandler::idleTimeout, &CallerConnection::onBodyTimeout);
    if (!m_reader.isComplete())
        return false;
    beginRequest();
    return true;
}

void CallerConnection::beginRequest(bool lacksBody)
{
    m_loop.cancel(m_timer);
    m_loop.cancel(m_uploadTimer);
    const std::size_t bytes = m_reader.headBytes() + m_reader.bodyBytes();
    ReceivedRequest request {m_reader.head(), m_reader.takeBody(), m_receiveStarted, lacksBody};
    m_reader = RequestReader(m_handler.messageLimits());
    if (lacksBody) {
        request.body = std::string();
        request.head.isKeepAlive = false;
    }
    m_share->record(HeldFor::Body, 0);
    m_share->record(HeldFor::Request, lacksBody ? 0 : bytes);
    m_headComplete = false;
    m_uploadAccepted = false;
    m_keepAlive = request.head.isKeepAlive;
    m_isHeadRequest = request.head.method == "HEAD";
    m_answering = true;
    m_request = &m_handler.begin(std::move(request), *this);
    m_answeredRequest = m_request->key();
    if (!m_answering)
        endRequest();
}

void CallerConnection::endRequest()
{
    if (CallerRequestEvents *request = std::exchange(m_request, nullptr))
        m_handler.release(*request);
    m_bufferedResponse = 0;
    if (m_share)
        m_share->record(HeldFor::Request, 0);
}

void CallerConnection::sendHead(const ResponseHead &head, BodyFraming body)
{
    m_chunked = body.kind == BodyFraming::Kind::Chunked;
    m_keepAlive = m_keepAlive && !m_handler.isDraining();
    if (m_keepAlive) {
        m_socket.send(writeResponseHead(head, body));
        return;
    }
    ResponseHead closing = head;
    closing.headers.set("Connection", "close");
    m_socket.send(writeResponseHead(closing, body));
}

void CallerConnection::sendBody(std::string_view bytes)
{
    if (m_isHeadRequest || bytes.empty())
        return;
    if (m_chunked)
        m_socket.send(writeChunk(bytes));
    else
        m_socket.send(bytes);
    updateShare();
}

void CallerConnection::finishResponse()
{
    if (m_chunked && !m_isHeadRequest)
        m_socket.send(LastChunk);
    m_chunked = false;
    m_answering = false;
    m_answered = m_readSince = m_loop.now();
    m_unsentBefore = m_socket.unsentBytes();
    endRequest();
    if (!m_keepAlive) {
        respondAndLinger(0);
        return;
    }
    awaitNextRequest();
}

void CallerConnection::awaitNextRequest()
{
    // Responses would pile up if their caller sent requests and read nothing.
    m_awaitsDrain = m_socket.unsentBytes() > m_handler.memory().limits().unsentBytes;
    limitTime(&CallerRequestHandler::idleTimeout, &CallerConnection::onIdleTimeout);
    readRequests();
    updateReading();
    if (m_closesWhenSent)
        closeIfIdle();
    updateShare();
}

void CallerConnection::abortResponse()
{
    m_answering = false;
    endRequest();
    m_loop.cancel(m_timer);
    m_socket.abort();
    close("aborted");
}

void CallerConnection::refuse(MessageError error)
{
    respondAndLinger(statusOf(error));
}

void CallerConnection::respondAndLinger(unsigned status, std::optional<Duration> retryAfter)
{
    if (status != 0) {
        ResponseHead head = m_handler.protocol().localResponse(status, RequestKey(), retryAfter);
        head.headers.set("Connection", "close");
        m_socket.send(writeResponseHead(head, {BodyFraming::Kind::Sized, 0}));
    }
    // Closing with unread bytes resets the connection, and the caller could lose the response.
    m_lingering = true;
    m_lingerStarted = m_loop.now();
    m_loop.cancel(m_uploadTimer);
    m_input = std::string();
    m_reader = RequestReader(m_handler.messageLimits());
    m_headComplete = false;
    m_socket.shutdownSend();
    m_socket.setReading(true);
    setTimer(LingerTime, &CallerConnection::onLingerTimeout);
    updateShare();
}

void CallerConnection::onHeadTimeout()
{
    respondAndLinger(HttpStatus::RequestTimeout);
}

void CallerConnection::onBodyTimeout()
{
    respondAndLinger(HttpStatus::RequestTimeout);
}

bool CallerConnection::isBeingRead()
{
    const std::size_t unsent = m_socket.unsentBytes();
    if (std::exchange(m_unsentBefore, unsent) != unsent)
        m_readSince = m_loop.now();
    return unsent > 0 && m_loop.now() - m_readSince < m_handler.idleTimeout();
}

void CallerConnection::onIdleTimeout()
{
    // Closing now would cut the response; the caller reads it slowly, or stands still.
    if (isBeingRead())
        limitTime(&CallerRequestHandler::idleTimeout, &CallerConnection::onIdleTimeout);
    else
        closeAfterPoll();
}

void CallerConnection::onLingerTimeout()
{
    if (isBeingRead() || isBeingDrained())
        setTimer(LingerTime, &CallerConnection::onLingerTimeout);
    else
        closeLingering();
}

void CallerConnection::onDrained()
{
    if (m_request)
        m_request->onCallerDrained();
    else if (std::exchange(m_awaitsDrain, false))
        awaitNextRequest();
    else if (m_closesWhenSent)
        closeIfIdle();
    else if (isIdle())
        limitTime(&CallerRequestHandler::idleTimeout, &CallerConnection::onIdleTimeout);
    updateShare();
}

void CallerConnection::onEnd(CloseReason reason)
{
    if (m_request) {
        m_answering = false;
        CallerRequestEvents *request = std::exchange(m_request, nullptr);
        request->onCallerGone(nameOf(reason));
        m_handler.release(*request);
    } else {
        reportCut(false, nameOf(reason));
    }
    close(nameOf(reason));
}

void CallerConnection::reportCut(bool isClosedHere, std::string_view cause)
{
    if (m_answering || m_socket.unsentBytes() == 0)
        return;
    m_handler.onResponseCut({.request = m_answeredRequest,
                             .isClosedHere = isClosedHere,
                             .cause = cause,
                             .unsentBytes = m_socket.unsentBytes(),
                             .age = m_loop.now() - m_answered});
}

} // namespace Apricothook
