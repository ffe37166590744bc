#include <apricothook/gateway/apricothook_gateway.hpp>

#include <apricothook/gateway/apricothook_gateway_event.hpp>

// Gateway: the limits on all callers together. The other parts are in apricothook_gateway.cpp.

namespace Apricothook {

void Gateway::accept(int descriptor)
{
    CallerRequestHandler &handler = *this;
    m_connections.push_back(std::make_unique<CallerConnection>(
        m_loop, handler, descriptor,
        [this](CallerConnection &connection) { connectionClosed(connection); }));
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
