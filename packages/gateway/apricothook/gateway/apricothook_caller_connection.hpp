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
class CallerConnection : private StreamSocketEvents,
                         private CallerResponder,
                         private MemoryShareOwner
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
    /** When the last response was complete, or the connection was accepted. */
    Instant idleSince() const { return m_answered; }
    /** Whether the connection is about to be closed. */
    bool isClosing() const { return m_closesWhenSent || m_lingering; }
    /** The process ends: closes the connection, whatever is still to be sent. */
    void closeAtProcessEnd();

private:
    using TimeLimit = Duration (CallerRequestHandler::*)() const;

    /** Buffer limit for pipelined requests while one is being answered. */
    static constexpr std::size_t MaxPipelinedBytes = 16384;
    /** Requests that are begun in a row; the objects of those that end are freed only afterwards.
     */
    static constexpr unsigned MaxRequestsInRow = 8;
    /** Memory of a connection without what it buffers. */
    static constexpr std::size_t ConnectionBytes = 2048;
    /** Capacity of an empty input buffer above which it is released. */
    static constexpr std::size_t MaxSpareInput = 4096;
    /** Bytes drained after the last response, beyond the longest body, before it is closed. */
    static constexpr std::size_t DrainedSlack = 65536;
    /**
     * How long input is still drained after the last response before the connection is closed,
     * and how often it is looked whether the caller reads on.
     */
    static constexpr std::chrono::milliseconds LingerTime {1000};

    void onData(std::string_view bytes) override;
    void onEnd(CloseReason end) override;
    void onDrained() override;
    void onSent(std::size_t bytes) override;

    void sendHead(const ResponseHead &head, BodyFraming body) override;
    void sendBody(std::string_view bytes) override;
    void finishResponse() override;
    void abortResponse() override;
    std::size_t unsentBytes() const override { return m_socket.unsentBytes(); }
    void holdResponse(std::size_t bytes) override;
    void onEvicted(EvictionCause cause) override;

    void readRequests();
    /** Reads the next requests after other events. */
    void yieldTurn();
    /** Reads the socket unless there is enough input that can't be processed yet. */
    void updateReading();
    /** Whether the next request may be read. */
    bool mayReadRequest() const { return !m_answering && !m_awaitsDrain && !m_awaitsTurn; }
    bool readRequest();
    /** `lacksBody`: the request is refused, as there is no room for its body. */
    void beginRequest(bool lacksBody = false);
    /** Whether it's time to look at a head whose body follows; most bodies come at once with it. */
    bool needsAcceptance(bool hadHead) const;
    /** Looks at a head whose body follows; false if the request was refused. */
    bool acceptUpload();
    void refuseUpload(std::string_view cause);
    void onUploadDeadline();
    /** Enters what the connection holds; false if there is no room and a refusal was sent. */
    bool updateShare();
    void dropPipelinedInput();
    void reportLimit(CallerLimit limit, std::string_view cause);
    std::string_view stateName() const;
    void endRequest();
    void refuse(MessageError error);
    void respondAndLinger(unsigned status, std::optional<Duration> retryAfter = std::nullopt);
    /** Whether the caller still sends what is drained. */
    bool isBeingDrained();
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
    bool m_uploadAccepted = false;
    bool m_isHeadRequest = false;
    bool m_chunked = false;
    bool m_keepAlive = true;
    bool m_answering = false;
    bool m_lingering = false;
    bool m_closesWhenSent = false;
    bool m_inReadRequests = false;
    /** The next request is read when the response before it is sent. */
    bool m_awaitsDrain = false;
    bool m_awaitsTurn = false;
    /** There was no room for pipelined requests, so no more are read. */
    bool m_discardsInput = false;
    TimerId m_timer = 0;
    TimerId m_uploadTimer = 0;
    TimerId m_turnTimer = 0;
    /** Empty when the connection is closed. */
    std::optional<MemoryShare> m_share;
    /** What the request buffers of its response. */
    std::size_t m_bufferedResponse = 0;
    /** Bytes that were drained after the last response, and when that began. */
    std::size_t m_drained = 0;
    std::size_t m_drainedBefore = 0;
    Instant m_lingerStarted {};
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
