#pragma once

#include <apricothook/gateway/apricothook_wire_protocol.hpp>
#include <apricothook/http1/apricothook_message_reader.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <string_view>

namespace Apricothook {

/** The way back to the caller of one request. */
class CallerResponder
{
public:
    virtual ~CallerResponder() = default;
    virtual void sendHead(const ResponseHead &head, BodyFraming body) = 0;
    virtual void sendBody(std::string_view bytes) = 0;
    /** The answer is whole. */
    virtual void finishAnswer() = 0;
    /** The answer can't be completed; the caller must see that. */
    virtual void abortAnswer() = 0;
    /** Bytes that the caller hasn't taken yet. */
    virtual std::size_t unsentBytes() const = 0;
};

/** Is told what the caller does while its request is served. */
class CallerRequestEvents
{
public:
    virtual ~CallerRequestEvents() = default;
    virtual void onCallerGone() = 0;
    /** All that was sent has been taken. */
    virtual void onCallerDrained() = 0;
};

/** A caller's whole request. */
struct ReceivedRequest
{
    RequestHead head;
    std::string body;
    /** When its first byte was read. */
    Instant begun {};
};

/** Takes whole requests; one object serves all connections. */
class CallerRequestHandler
{
public:
    virtual ~CallerRequestHandler() = default;
    /** The answer goes through `responder`, which lives until the answer ended or the caller left.
     */
    virtual CallerRequestEvents &begin(ReceivedRequest request, CallerResponder &responder) = 0;
    /** The connection needs `events` no more, as its answer ended or the caller left. */
    virtual void release(CallerRequestEvents &events) = 0;
    virtual MessageLimits messageLimits() const = 0;
    virtual Duration headTimeout() const = 0;
    virtual Duration idleTimeout() const = 0;
    virtual const WireProtocol &dialect() const = 0;
    /** Connections must not be kept, as the process is about to leave. */
    virtual bool isLeaving() const = 0;
};

} // namespace Apricothook
