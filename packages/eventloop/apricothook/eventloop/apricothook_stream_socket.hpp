#pragma once

#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/eventloop/apricothook_stream_connection.hpp>
#include <apricothook/model/apricothook_endpoint.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace Apricothook {

/** Whether a connection ends if its peer takes none of the bytes that are sent to it. */
enum class UnreadBytes {
    EndConnection, ///< After DeadPeerTimeout.
    AreKept,       ///< Until the owner closes the connection: the kernel sets no limit.
};

/** Why a connection ended. */
enum class CloseReason {
    PeerClosed, ///< The peer closed it in order and all of its data was read.
    Reset,      ///< The peer reset it.
    TimedOut,   ///< Nothing was acknowledged for too long.
    Failed,     ///< Not established, or ended by another error.
};

std::string_view nameOf(CloseReason reason);

/** Receives the events of a connection. Any of the calls may destroy the socket. */
class StreamSocketEvents
{
public:
    virtual ~StreamSocketEvents() = default;
    virtual void onConnected() { }
    virtual void onData(std::string_view bytes) = 0;
    /** Called after the socket was closed. */
    virtual void onEnd(CloseReason end) = 0;
    /** The send buffer is empty: the kernel has taken all bytes. */
    virtual void onDrained() { }
    /** The kernel has taken some of the bytes that it didn't take at once. */
    virtual void onSent(std::size_t) { }
};

/**
 * A non-blocking TCP connection on an event loop. Bytes that the kernel doesn't accept at once are
 * buffered and sent when the socket becomes writable.
 *
 * A connection can die without a reset, when the peer's VM loses power or a middlebox drops its
 * connection state. Unacknowledged data and unanswered keep-alive probes therefore close it after
 * DeadPeerTimeout. The kernel takes a peer that reads nothing for one that acknowledges nothing, so
 * a connection whose peer may read slowly has only the probes; its owner must bound the rest.
 */
class StreamSocket : public StreamConnection, private DescriptorEvents
{
public:
    /** Longer than a sound machine stands still. */
    static constexpr std::chrono::milliseconds DeadPeerTimeout {2500};

    /** Takes ownership of an accepted descriptor. */
    StreamSocket(EventLoop &loop, StreamSocketEvents &events, int descriptor,
                 UnreadBytes unread = UnreadBytes::EndConnection);
    /**
     * Starts connecting; onConnected() or onEnd() reports the result. `from` is the numeric address
     * of this VM to connect from; the system chooses one if it is empty.
     */
    StreamSocket(EventLoop &loop, StreamSocketEvents &events, const Endpoint &to,
                 const std::string &from = {});
    ~StreamSocket() override;
    StreamSocket(const StreamSocket &) = delete;
    StreamSocket &operator=(const StreamSocket &) = delete;

    void send(std::string_view bytes) override;
    void send(std::shared_ptr<const std::string> bytes) override;
    void setReading(bool reading) override;
    bool isReading() const { return m_reading; }
    std::size_t unsentBytes() const override;
    /** Memory of its own that the unsent bytes take up. */
    std::size_t heldBytes() const { return m_sendBuffer.capacity(); }
    bool isOpen() const override { return m_descriptor >= 0; }
    /** Half-closes the connection after all buffered bytes are sent; reading continues. */
    void shutdownSend();
    /** Sends as many buffered bytes as the kernel accepts now, then closes in order. */
    void close();
    void abort() override;

private:
    static constexpr std::size_t ReadBufferBytes = 16384;
    /** Reads of one event, so that a peer that sends without pause doesn't hold up the others. */
    static constexpr unsigned MaxReadsPerEvent = 4;
    /** Capacity of an empty send buffer above which it is released. */
    static constexpr std::size_t MaxSpareBuffer = 4096;

    void onReadable() override;
    void onWritable() override;
    void finishConnect();
    void flush();
    /** Hands as many bytes to the kernel as it takes; returns their number. */
    std::size_t sendNow(std::string_view bytes);
    /** Removes from the send buffer what was sent. */
    void trimBuffer();
    void end(CloseReason how);
    /** The next read, where the owner expects onEnd(), reports the error. */
    void recordSendError(int error);
    CloseReason endOf(int readError) const;
    void release();
    void updateInterest();
    void shutDownIfSent();

    EventLoop &m_loop;
    StreamSocketEvents &m_events;
    int m_descriptor = -1;
    bool m_connecting = false;
    bool m_reading = true;
    bool m_shutdownRequested = false;
    int m_sendError = 0;
    std::string m_sendBuffer;
    std::size_t m_sendOffset = 0;
    /** Sent after the send buffer; null if there is none. */
    std::shared_ptr<const std::string> m_shared;
    std::size_t m_sharedOffset = 0;
    /** Running callbacks hold a weak pointer to it to detect that the socket was destroyed. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Apricothook
