#pragma once

#include <apricothook/eventloop/apricothook_stream_socket.hpp>
#include <apricothook/gateway/apricothook_caller_responder.hpp>

#include <functional>
#include <optional>

namespace Apricothook {

/**
 * A caller's connection: reads requests and writes their responses.
 *
 * Requests are processed one at a time: the next one is parsed only after the response to the
 * previous one is complete, so responses can't be mixed up. While a request is in progress the
 * socket is still read, as this is the only way to detect that the caller has disconnected.
 */
class CallerConnection : private StreamSocketEvents, private CallerResponder
{
public:
    using CloseHandler = std::function<void(CallerConnection &)>;

    /** `closed` is called once; it must not destroy the connection during the current event. */
    CallerConnection(EventLoop &loop, CallerRequestHandler &handler, int descriptor,
                     CloseHandler closed);
    ~CallerConnection() override;
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /**
     * Closes the connection unless a request is being read or answered; a response that is written
     * is sent first. Called from a timer, a request that has arrived meanwhile is read first.
     */
    void closeIfIdle();
    bool isIdle() const;
    /** The process ends: closes the connection, whatever is still to be sent. */
    void closeAtProcessEnd();

private:
    using TimeLimit = Duration (CallerRequestHandler::*)() const;

    /** Buffer limit for pipelined requests while one is being answered. */
    static constexpr std::size_t MaxPipelinedBytes = 65536;
    /**
     * How long input is still drained after the last response before the connection is closed,
     * and how often it is looked whether the caller reads on.
     */
    static constexpr std::chrono::milliseconds LingerTime {1000};

    void onData(std::string_view bytes) override;
    void onEnd(CloseReason end) override;
    void onDrained() override;

    void sendHead(const ResponseHead &head, BodyFraming body) override;
    void sendBody(std::string_view bytes) override;
    void finishResponse() override;
    void abortResponse() override;
    std::size_t unsentBytes() const override { return m_socket.unsentBytes(); }

    void readRequests();
    bool readRequest();
    void beginRequest();
    void endRequest();
    void refuse(MessageError error);
    void respondAndLinger(unsigned status);
    void awaitNextRequest();
    void setTimer(Duration delay, void (CallerConnection::*onTime)());
    /**
     * Calls `onTime` after the longest of the values that the limit has from now on, as the caller
     * may know any of them.
     */
    void limitTime(TimeLimit limit, void (CallerConnection::*onTime)());
    void setLimitTimer(TimeLimit limit, void (CallerConnection::*onTime)());
    void onHeadTimeout();
    void onBodyTimeout();
    void onIdleTimeout();
    void onLingerTimeout();
    /**
     * Whether there are bytes to be sent, and the caller has taken some within the idle timeout.
     * Compares with the last call, so it is called from the timers only.
     */
    bool isBeingRead();
    /** Closes the connection unless a request has arrived by the next poll of the descriptors. */
    void closeAfterPoll();
    void close(std::string_view cause);
    void closeIdle() { close("idle"); }
    void closeLingering() { close("linger"); }
    void reportCut(bool isClosedHere, std::string_view cause);

    EventLoop &m_loop;
    CallerRequestHandler &m_handler;
    CloseHandler m_closeHandler;
    RequestReader m_reader;
    CallerRequestEvents *m_request = nullptr;
    std::string m_input;
    /** When the first byte of the current request was read. */
    Instant m_receiveStarted {};
    bool m_headComplete = false;
    bool m_isHeadRequest = false;
    bool m_chunked = false;
    bool m_keepAlive = true;
    bool m_answering = false;
    bool m_lingering = false;
    bool m_closesWhenSent = false;
    bool m_inReadRequests = false;
    TimerId m_timer = 0;
    /** The request that was answered last. */
    RequestKey m_answeredRequest;
    Instant m_answered {};
    /** Bytes to be sent when it was last looked whether the caller reads. */
    std::size_t m_unsentBefore = 0;
    /** When some of them had last been sent. */
    Instant m_readSince {};
    /** When the time began that is limited by the timer. */
    Instant m_limitedSince {};
    Duration m_longestTime {};
    StreamSocket m_socket;
};

} // namespace Apricothook
