#include <apricothook/gateway/apricothook_gateway.hpp>

#include <apricothook/gateway/apricothook_gateway_event.hpp>
#include <apricothook/http1/apricothook_http_status.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

// Gateway: the limits on all callers together. The other parts are in apricothook_gateway.cpp.

namespace Apricothook {

namespace {

/** Connections beyond the limit that may be open while those that make room for them are closed. */
std::size_t closingConnections(std::size_t most)
{
    return most / 32 + 8;
}

} // namespace

void Gateway::accept(int descriptor)
{
    if (!makeRoomForConnection()) {
        refuseConnection(descriptor);
        return;
    }
    CallerRequestHandler &handler = *this;
    m_connections.push_back(std::make_unique<CallerConnection>(
        m_loop, handler, descriptor,
        [this](CallerConnection &connection) { connectionClosed(connection); }));
}

bool Gateway::makeRoomForConnection()
{
    const std::size_t most = m_memory.limits().connections;
    if (m_connections.size() < most)
        return true;
    if (m_connections.size() >= most + closingConnections(most))
        return false;
    CallerConnection *longestIdle = nullptr;
    for (const std::unique_ptr<CallerConnection> &connection : m_connections) {
        const bool isCandidate = connection->isIdle() && !connection->isClosing();
        if (isCandidate && (!longestIdle || connection->idleSince() < longestIdle->idleSince()))
            longestIdle = connection.get();
    }
    if (!longestIdle)
        return m_memory.evictStalled();
    onCallerLimited({.limit = CallerLimit::Connections, .cause = "longest-idle", .state = "idle"});
    longestIdle->closeIfIdle();
    return true;
}

void Gateway::refuseConnection(int descriptor)
{
    onCallerLimited({.limit = CallerLimit::Connections, .cause = "all-busy", .state = "new"});
    ResponseHead head = m_context.protocol.localResponse(HttpStatus::Unavailable, RequestKey(),
                                                         retryAfterNoRoom());
    head.headers.set("Connection", "close");
    const std::string response = writeResponseHead(head, {BodyFraming::Kind::Sized, 0});
    static_cast<void>(::send(descriptor, response.data(), response.size(), MSG_NOSIGNAL));
    // Closing with unread bytes resets the connection, and the caller could lose the response.
    std::array<char, 4096> ignored;
    static_cast<void>(recv(descriptor, ignored.data(), ignored.size(), 0));
    ::close(descriptor);
}

UploadTerms Gateway::uploadTerms(const RequestHead &head, Instant receiveStarted)
{
    AdmittedRequest request;
    const ReceivedRequest received {head, {}, receiveStarted};
    const bool isAdmitted = admit(received, m_context, request).has_value();
    const std::uint64_t customer = request.customer ? customerHash(request.customer->name) : 0;
    return {!isAdmitted, customer, request.deadline};
}

void Gateway::onCallerLimited(const LimitedCaller &caller)
{
    m_context.metrics.callerLimited(nameOf(caller.limit), caller.cause);
    m_context.log.write(LogEvent(GatewayEvent::CallerLimited)
                            .with("limit", std::string(nameOf(caller.limit)))
                            .with("cause", std::string(caller.cause))
                            .with("state", std::string(caller.state))
                            .with("bytes", caller.bytes)
                            .with("held_bytes", m_memory.held())
                            .with("limit_bytes", m_memory.limits().heldBytes)
                            .with("connections", m_connections.size()));
}

void Gateway::checkBodyLimit()
{
    const std::uint64_t longest = m_memory.limits().largeBytes;
    if (callerBounds().bodyBytes > longest)
        m_context.log.write(LogEvent(GatewayEvent::BodyLimitTooLarge)
                                .with("body_bytes", callerBounds().bodyBytes)
                                .with("longest_bytes", longest));
}

} // namespace Apricothook
