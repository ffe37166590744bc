#pragma once

#include <apricothook/eventloop/apricothook_stream_socket.hpp>
#include <apricothook/gateway/apricothook_caller_responder.hpp>

#include <functional>
#include <optional>

namespace Apricothook {

/**
 * One caller's connection: reads requests one after the other and writes their answers.
 *
 * The next request is read only when the answer to the one before is complete, so an answer can't
 * reach another request. While a target works, the connection is still read, as nothing else tells
 * that the caller has gone.
 */
class CallerConnection : private StreamSocketEvents, private CallerResponder
{
public:
    using Closed = std::function<void(CallerConnection &)>;

    /** `closed` is called once; it may not destroy the connection before the event is over. */
    CallerConnection(EventLoop &loop, CallerRequestHandler &handler, int descriptor, Closed closed);
    ~CallerConnection() override;
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /** Closes it if no request is being read or answered. */
    void closeIfIdle();
    bool isIdle() const;

private:
    /** Bytes of further requests that are kept while one is answered. */
    static constexpr std::size_t MostEarlyBytes = 65536;
    /** How long a refused caller may go on sending before the connection is cut. */
    static constexpr std::chrono::milliseconds LingerTime {1000};

    void onData(std::string_view bytes) override;
    void onEnd(CloseReason end) override;
    void onDrained() override;

    void sendHead(const ResponseHead &head, BodyFraming body) override;
    void sendBody(std::string_view bytes) override;
    void finishAnswer() override;
    void abortAnswer() override;
    std::size_t unsentBytes() const override { return m_socket.unsentBytes(); }

    void readRequests();
    bool readRequest();
    void beginRequest();
    void endRequest();
    void refuse(MessageError error);
    void refuseAndLinger(unsigned status);
    void awaitRequest();
    void setTimer(Duration delay, void (CallerConnection::*onTime)());
    void onHeadLate();
    void onBodyLate();
    void onIdle();
    void close();

    EventLoop &m_loop;
    CallerRequestHandler &m_handler;
    Closed m_closed;
    RequestReader m_reader;
    CallerRequestEvents *m_request = nullptr;
    std::string m_early;
    /** When the first byte of the present request was read. */
    Instant m_begun {};
    bool m_headDone = false;
    bool m_isHeadRequest = false;
    bool m_chunked = false;
    bool m_keeps = true;
    bool m_answering = false;
    bool m_lingering = false;
    bool m_inRead = false;
    TimerId m_timer = 0;
    StreamSocket m_socket;
};

} // namespace Apricothook
