#pragma once

#include <apricothook/gateway/apricothook_caller_memory.hpp>
#include <apricothook/gateway/apricothook_wire_protocol.hpp>
#include <apricothook/http1/apricothook_message_reader.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <string_view>

namespace Apricothook {

/** Sends the response of one request to its caller. */
class CallerResponder
{
public:
    virtual ~CallerResponder() = default;
    virtual void sendHead(const ResponseHead &head, BodyFraming body) = 0;
    virtual void sendBody(std::string_view bytes) = 0;
    virtual void finishResponse() = 0;
    /** Resets the connection, so that the caller detects the incomplete response. */
    virtual void abortResponse() = 0;
    /** Buffered response bytes that the kernel hasn't accepted yet. */
    virtual std::size_t unsentBytes() const = 0;
    /** Enters what is buffered of the response before it is sent. */
    virtual void holdResponse(std::size_t bytes) = 0;
};

/** A response whose connection ended before the kernel had taken all of it. */
struct CutResponse
{
    RequestKey request;
    /** Whether this daemon closed the connection; else the caller or the kernel ended it. */
    bool isClosedHere = false;
    /** Why the connection ended. */
    std::string_view cause;
    std::size_t unsentBytes = 0;
    /** Since the last byte of the response was written. */
    Duration age {};
};

/** Receives the events of a caller's connection while its request is served. */
class CallerRequestEvents
{
public:
    virtual ~CallerRequestEvents() = default;
    /** `cause`: a name for the log. */
    virtual void onCallerGone(std::string_view cause) = 0;
    /** All buffered response bytes were sent. */
    virtual void onCallerDrained() = 0;
    virtual const RequestKey &key() const = 0;
};

/** A received request. */
struct ReceivedRequest
{
    RequestHead head;
    std::string body;
    /** When the first byte was read. */
    Instant receiveStarted {};
    /** There is no room for its body, so the request must be refused. */
    bool lacksBody = false;
};

/** What is known of a request by its head, while its body is being received. */
struct UploadTerms
{
    /** The request would be refused whatever its body is. */
    bool isRefused = false;
    /** The customer that the body is held for; zero if there is none. */
    std::uint64_t customer = 0;
    /** If the body isn't complete by then, the request can't be served. */
    Instant deadline {};
};

/** Which of the limits on all callers together a caller has met. */
enum class CallerLimit {
    Memory,      ///< CallerResources::heldBytes or largeBytes.
    Connections, ///< CallerResources::connections.
    UploadTime,  ///< The time limit of its own request.
};

std::string_view nameOf(CallerLimit limit);

/** A connection that was closed, or whose request was refused, because of a limit. */
struct LimitedCaller
{
    CallerLimit limit = CallerLimit::Memory;
    /** Why it was this connection. */
    std::string_view cause;
    /** What the connection held, and what it waited for. */
    std::size_t bytes = 0;
    std::string_view state;
};

/** Handles requests; shared by all caller connections. */
class CallerRequestHandler
{
public:
    virtual ~CallerRequestHandler() = default;
    /** `responder` is valid until the response ends or the caller disconnects. */
    virtual CallerRequestEvents &begin(ReceivedRequest request, CallerResponder &responder) = 0;
    /** Called after the response ended or the caller disconnected; `events` isn't used again. */
    virtual void release(CallerRequestEvents &events) = 0;
    virtual MessageLimits messageLimits() const = 0;
    virtual Duration headTimeout() const = 0;
    virtual Duration idleTimeout() const = 0;
    virtual const WireProtocol &protocol() const = 0;
    virtual void onResponseCut(const CutResponse &response) = 0;
    virtual UploadTerms uploadTerms(const RequestHead &head, Instant receiveStarted) = 0;
    /** The memory of all callers together. */
    virtual CallerMemory &memory() = 0;
    /** When callers that find no room may come back. */
    virtual Duration retryAfterNoRoom() = 0;
    virtual void onCallerLimited(const LimitedCaller &caller) = 0;
    /** The process is shutting down: connections are closed after the current response. */
    virtual bool isDraining() const = 0;
};

} // namespace Apricothook
