#pragma once

#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/model/apricothook_endpoint.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace Apricothook {

/** How a connection ended. */
enum class CloseReason {
    PeerClosed, ///< The other side closed it in order; all that it sent has been read.
    Failed,     ///< Reset, timed out, or never established.
};

/** Is told what happens on a connection. May destroy the socket in any call. */
class StreamSocketEvents
{
public:
    virtual ~StreamSocketEvents() = default;
    virtual void onConnected() { }
    virtual void onData(std::string_view bytes) = 0;
    /** The socket is closed already. */
    virtual void onEnd(CloseReason end) = 0;
    /** All that was to be sent is with the kernel. */
    virtual void onDrained() { }
};

/**
 * A TCP connection on an event loop. What the kernel doesn't take at once is kept and sent later.
 *
 * A connection can fall silent without a reset, when the other VM lost power or something on
 * the way lost track of it. Sent bytes that stay unacknowledged, and probes of an idle connection
 * that stay unanswered, end it after SilenceLimit.
 */
class StreamSocket : private DescriptorEvents
{
public:
    /** Well above the round trip and a few retransmissions, below the pause that callers bear. */
    static constexpr std::chrono::milliseconds SilenceLimit {1500};

    /** Takes over an accepted descriptor. */
    StreamSocket(EventLoop &loop, StreamSocketEvents &events, int descriptor);
    /** Starts to connect. */
    StreamSocket(EventLoop &loop, StreamSocketEvents &events, const Endpoint &to);
    ~StreamSocket() override;
    StreamSocket(const StreamSocket &) = delete;
    StreamSocket &operator=(const StreamSocket &) = delete;

    void send(std::string_view bytes);
    /** While paused nothing is read, and the other side's window fills. */
    void setReading(bool reading);
    /** Bytes that the kernel hasn't taken. */
    std::size_t unsentBytes() const { return m_unsent.size() - m_sentOfUnsent; }
    bool isOpen() const { return m_descriptor >= 0; }
    /** Tells the other side that nothing more will come, once all is sent; reading goes on. */
    void shutdownSend();
    /** Sends what is left if the kernel takes it, then closes in order. */
    void close();
    /** Closes with a reset: an answer without a length must not look complete. */
    void abort();

private:
    static constexpr std::size_t ReadBytes = 16384;

    void onReadable() override;
    void onWritable() override;
    void finishConnect();
    void flush();
    void end(CloseReason how);
    void release();
    void updateInterest();
    void shutDownIfSent();

    EventLoop &m_loop;
    StreamSocketEvents &m_events;
    int m_descriptor = -1;
    bool m_connecting = false;
    bool m_reading = true;
    bool m_finishing = false;
    std::string m_unsent;
    std::size_t m_sentOfUnsent = 0;
    /** Shared with callbacks under way, which learn by it that the socket is gone. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Apricothook
