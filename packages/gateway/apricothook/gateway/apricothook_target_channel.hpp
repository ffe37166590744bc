#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>
#include <apricothook/eventloop/apricothook_stream_socket.hpp>
#include <apricothook/gateway/apricothook_wire_protocol.hpp>
#include <apricothook/http1/apricothook_message_reader.hpp>

#include <string>

namespace Apricothook {

/** Why a channel gave no whole answer. */
enum class ChannelFailure {
    NotConnected, ///< No byte of the request was sent.
    Broken,       ///< The connection ended within the answer or before it.
    Malformed,    ///< The bytes aren't an answer.
};

/** Is told of the answer to one request. */
class TargetAnswerEvents
{
public:
    virtual ~TargetAnswerEvents() = default;
    virtual void onAnswerHead(const ResponseHead &head, const TargetResponseFields &verdict) = 0;
    virtual void onAnswerBody(std::string_view bytes) = 0;
    virtual void onAnswerComplete() = 0;
    virtual void onAnswerFailed(ChannelFailure failure) = 0;
};

class TargetChannel;

/** Gets channels back when they are idle or closed. */
class TargetChannelOwner
{
public:
    virtual ~TargetChannelOwner() = default;
    virtual void onChannelIdle(TargetChannel &channel) = 0;
    /** May not destroy the channel before the present event of the loop is over. */
    virtual void onChannelClosed(TargetChannel &channel) = 0;
    virtual void onStrayAnswer(const TargetChannel &channel) = 0;
};

/**
 * A connection to one target that carries one request at a time.
 *
 * A faulty target sends more than it was asked for: bytes behind a complete answer, or a second
 * answer where the next request's is due, which would reach a stranger. So bytes on an idle channel
 * close it, and an answer that names another request is read to its end and dropped.
 */
class TargetChannel : private StreamSocketEvents
{
public:
    /** Round trips take milliseconds; beyond this the target is down or its queue is full. */
    static constexpr std::chrono::milliseconds ConnectTimeout {150};
    /** Answers of others that are passed over before the channel is given up. */
    static constexpr unsigned MostStrayAnswers = 2;

    TargetChannel(EventLoop &loop, const WireProtocol &dialect, TargetChannelOwner &owner,
                  const TargetEntry &target);
    ~TargetChannel() override;
    TargetChannel(const TargetChannel &) = delete;
    TargetChannel &operator=(const TargetChannel &) = delete;

    /** `answersHead`: the request's method is HEAD. */
    void start(const RequestKey &request, std::string_view bytes, bool answersHead,
               TargetAnswerEvents &events);
    /** Ends the request; a target drops what it runs when its connection closes. */
    void cancel();
    void setReading(bool reading) { m_socket.setReading(reading); }
    void close();

    const TargetEntry &target() const { return m_target; }
    bool isIdle() const { return !m_events && m_socket.isOpen(); }
    Instant idleSince() const { return m_idleSince; }
    /** How long the target said it keeps an idle connection. */
    std::optional<Duration> kept() const { return m_kept; }

private:
    void onConnected() override;
    void onData(std::string_view bytes) override;
    void onEnd(CloseReason end) override;

    void readAnswer(std::string_view bytes);
    bool takeHead();
    void completeAnswer(bool hasMoreBytes);
    void fail(ChannelFailure failure);
    void resetAnswer();

    EventLoop &m_loop;
    const WireProtocol &m_dialect;
    TargetChannelOwner &m_owner;
    const TargetEntry m_target;
    TargetAnswerEvents *m_events = nullptr;
    RequestKey m_request;
    bool m_answersHead = false;
    bool m_connected = false;
    bool m_headTold = false;
    bool m_isStray = false;
    unsigned m_strays = 0;
    ResponseReader m_reader {false};
    Instant m_idleSince {};
    std::optional<Duration> m_kept;
    TimerId m_connectTimer = 0;
    StreamSocket m_socket;
};

} // namespace Apricothook
