#include <apricothook/gateway/apricothook_caller_connection.hpp>

#include <apricothook/http1/apricothook_http_status.hpp>

#include <algorithm>

// CallerConnection: the limits on all callers together. Requests are read and answered in
// apricothook_caller_connection.cpp.

namespace Apricothook {

std::string_view nameOf(CallerLimit limit)
{
    switch (limit) {
    case CallerLimit::Memory:
        return "memory";
    case CallerLimit::Connections:
        return "connections";
    case CallerLimit::UploadTime:
        break;
    }
    return "upload-time";
}

bool CallerConnection::needsAcceptance(bool hadHead) const
{
    return !m_uploadAccepted
        && (hadHead || m_reader.announcedBody().value_or(0) > CallerResources::SmallBytes
            || m_reader.head().headers.find("Expect"));
}

bool CallerConnection::acceptUpload()
{
    m_uploadAccepted = true;
    const UploadTerms terms = m_handler.uploadTerms(m_reader.head(), m_receiveStarted);
    if (terms.isRefused) {
        beginRequest(true);
        return false;
    }
    m_share->setCustomer(terms.customer);
    const std::optional<std::uint64_t> announced = m_reader.announcedBody();
    if (announced && *announced > CallerResources::SmallBytes) {
        if (!m_share->reserve(HeldFor::Body, *announced)) {
            refuseUpload("announced");
            return false;
        }
        m_reader.reserveBody(*announced);
    }
    const Duration left = std::max<Duration>(terms.deadline - m_loop.now(), Duration::zero());
    m_uploadTimer = m_loop.after(left, [this] {
        m_uploadTimer = 0;
        onUploadDeadline();
    });
    return true;
}

void CallerConnection::refuseUpload(std::string_view cause)
{
    reportLimit(CallerLimit::Memory, cause);
    beginRequest(true);
}

void CallerConnection::onUploadDeadline()
{
    reportLimit(CallerLimit::UploadTime, "deadline");
    respondAndLinger(HttpStatus::RequestTimeout);
}

bool CallerConnection::updateShare()
{
    if (!m_share)
        return false;
    const bool isUnsent = m_socket.unsentBytes() > 0;
    const bool isReceiving = !m_answering && (m_reader.hasStarted() || !m_input.empty());
    m_share->setWaitsForCaller(isUnsent || isReceiving || m_lingering);
    m_share->record(HeldFor::Response, m_socket.heldBytes() + m_bufferedResponse);
    // What a connection that isn't read leaves in the kernel counts for the process, too.
    const std::size_t unread
        = m_socket.isReading() ? 0 : m_handler.memory().limits().buffers.receive;
    const std::size_t input = m_input.capacity() + unread;
    if (m_lingering) {
        m_share->record(HeldFor::Body, 0);
        m_share->record(HeldFor::Input, input);
        return true;
    }
    if (!mayReadRequest()) {
        if (!m_share->reserve(HeldFor::Input, input))
            dropPipelinedInput();
        return true;
    }
    if (m_reader.hasHead() && !m_reader.isComplete()
        && !m_share->reserve(HeldFor::Body,
                             std::max(m_reader.bodyBytes(), m_share->bytes(HeldFor::Body)))) {
        refuseUpload("body");
        return false;
    }
    if (!m_share->reserve(HeldFor::Input, input + m_reader.headBytes())) {
        if (m_reader.hasHead()) {
            refuseUpload("body");
        } else {
            reportLimit(CallerLimit::Memory, "head");
            respondAndLinger(HttpStatus::Unavailable, m_handler.retryAfterNoRoom());
        }
        return false;
    }
    return true;
}

void CallerConnection::dropPipelinedInput()
{
    reportLimit(CallerLimit::Memory, "pipelined");
    m_input = std::string();
    m_discardsInput = true;
    m_keepAlive = false;
    m_socket.setReading(true);
    m_share->record(HeldFor::Input, 0);
}

void CallerConnection::holdResponse(std::size_t bytes)
{
    m_bufferedResponse = bytes;
    updateShare();
}

void CallerConnection::onSent(std::size_t bytes)
{
    if (m_share)
        m_share->recordProgress(bytes);
}

void CallerConnection::onEvicted(EvictionCause cause)
{
    reportLimit(CallerLimit::Memory, nameOf(cause));
    if (!m_answering && m_headComplete && !m_lingering) {
        beginRequest(true);
        return;
    }
    if (!m_answering && m_socket.unsentBytes() == 0 && !m_lingering) {
        respondAndLinger(HttpStatus::Unavailable, m_handler.retryAfterNoRoom());
        return;
    }
    if (CallerRequestEvents *request = std::exchange(m_request, nullptr)) {
        m_answering = false;
        request->onCallerGone("evicted");
        m_handler.release(*request);
    }
    m_socket.abort();
    close("evicted");
}

bool CallerConnection::isBeingDrained()
{
    const std::size_t before = std::exchange(m_drainedBefore, m_drained);
    return m_drained > before + CallerMemory::LeastRate
        && m_loop.now() - m_lingerStarted < m_handler.idleTimeout();
}

void CallerConnection::reportLimit(CallerLimit limit, std::string_view cause)
{
    m_handler.onCallerLimited({.limit = limit,
                               .cause = cause,
                               .bytes = m_share ? m_share->bytes() : 0,
                               .state = stateName()});
}

std::string_view CallerConnection::stateName() const
{
    if (m_lingering)
        return "closing";
    if (m_answering || m_socket.unsentBytes() > 0)
        return "response";
    if (m_headComplete)
        return "body";
    return m_reader.hasStarted() ? "head" : "idle";
}

} // namespace Apricothook
