#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>
#include <apricothook/gateway/apricothook_wire_protocol.hpp>
#include <apricothook/http1/apricothook_message_reader.hpp>
#include <apricothook/paths/apricothook_target_connector.hpp>

#include <memory>
#include <string>

namespace Apricothook {

/** Why no complete response was received. */
enum class ChannelFailure {
    NotConnected, ///< No byte of the request was sent.
    Broken,       ///< The connection ended before or within the response.
    Malformed,    ///< The bytes aren't a valid response.
};

/** A request as it is sent: the head, with a small body, and a large body. */
struct WrittenRequest
{
    std::string head;
    /** Null if there is none. */
    std::shared_ptr<const std::string> body;
};

/** Provides one request and receives the response to it. */
class TargetResponseEvents
{
public:
    virtual ~TargetResponseEvents() = default;
    /** The request; called once, when the channel is connected and sends it. */
    virtual WrittenRequest writeRequest() = 0;
    virtual void onResponseHead(const ResponseHead &head, const TargetResponseFields &fields) = 0;
    virtual void onResponseBody(std::string_view bytes) = 0;
    virtual void onResponseComplete() = 0;
    virtual void onResponseFailed(ChannelFailure failure) = 0;
};

class TargetChannel;

/** Owns the channels; notified when they become idle or closed. */
class TargetChannelOwner
{
public:
    virtual ~TargetChannelOwner() = default;
    virtual void onChannelIdle(TargetChannel &channel) = 0;
    /** Must not destroy the channel during the current event of the loop. */
    virtual void onChannelClosed(TargetChannel &channel) = 0;
    virtual void onUnexpectedResponse(const TargetChannel &channel) = 0;
};

/**
 * A connection to one target that carries one request at a time.
 *
 * A faulty target may send bytes after a complete response, or a second response that would be
 * taken for the response to the next request and reach another caller. Bytes on an idle channel
 * therefore close it, and a response with the id of another request is read and discarded.
 */
class TargetChannel : private StreamSocketEvents
{
public:
    /** Responses to other requests that are discarded before the channel is closed. */
    static constexpr unsigned MaxUnexpectedResponses = 2;
    /** Bytes of their bodies after which the channel is closed. */
    static constexpr std::size_t MaxDiscardedBytes = 1 << 18;

    /** `request`: the first request that the channel is to carry. */
    TargetChannel(EventLoop &loop, const WireProtocol &protocol, TargetChannelOwner &owner,
                  TargetConnector &connector, const TargetEntry &target, const RequestKey &request);
    ~TargetChannel() override;
    TargetChannel(const TargetChannel &) = delete;
    TargetChannel &operator=(const TargetChannel &) = delete;

    /** `isHeadResponse`: the request's method is HEAD, so the response has no body. */
    void start(const RequestKey &request, bool isHeadResponse, TargetResponseEvents &events);
    /** Cancels the request by closing the connection, on which the target stops working. */
    void cancel();
    void setReading(bool reading) { m_connection->setReading(reading); }
    void close();

    const TargetEntry &target() const { return m_target; }
    bool isIdle() const { return !m_events && m_connection->isOpen(); }
    /** The daemon that carries the connection; empty on this daemon's own path. */
    const std::optional<Endpoint> &relay() const { return m_relay; }
    Instant idleSince() const { return m_idleSince; }
    /** The target's keep-alive timeout, if it stated one. */
    std::optional<Duration> keepAliveTimeout() const { return m_keepAliveTimeout; }

private:
    void onConnected() override;
    void onData(std::string_view bytes) override;
    void onEnd(CloseReason end) override;

    void sendRequest();
    void readResponse(std::string_view bytes);
    bool processHead();
    void completeResponse(bool hasMoreBytes);
    void fail(ChannelFailure failure);
    void resetResponse();

    EventLoop &m_loop;
    const WireProtocol &m_protocol;
    TargetChannelOwner &m_owner;
    const TargetEntry m_target;
    TargetResponseEvents *m_events = nullptr;
    RequestKey m_request;
    bool m_isHeadResponse = false;
    bool m_connected = false;
    bool m_headReported = false;
    bool m_isUnexpected = false;
    unsigned m_unexpectedResponses = 0;
    std::size_t m_discarded = 0;
    ResponseReader m_reader {false};
    Instant m_idleSince {};
    std::optional<Duration> m_keepAliveTimeout;
    TimerId m_connectTimer = 0;
    std::optional<Endpoint> m_relay;
    std::unique_ptr<StreamConnection> m_connection;
};

} // namespace Apricothook
