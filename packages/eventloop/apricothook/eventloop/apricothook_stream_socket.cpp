#include <apricothook/eventloop/apricothook_stream_socket.hpp>

#include <apricothook/model/apricothook_socket_address.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace Apricothook {

namespace {

/** Idle time before the first keep-alive probe, and the interval between probes. */
constexpr int KeepAliveSeconds = 1;
/** The connection ends after two unanswered probes. */
constexpr int MaxUnansweredProbes = 2;

void setOption(int descriptor, int level, int option, int value)
{
    // The options are optional: without them a dead peer is only detected later.
    static_cast<void>(setsockopt(descriptor, level, option, &value, sizeof value));
}

void setOptions(int descriptor, UnreadBytes unread)
{
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    if (unread == UnreadBytes::EndConnection)
        setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
                  static_cast<int>(StreamSocket::DeadPeerTimeout.count()));
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, MaxUnansweredProbes);
}

/** Connects from the given address, or from any if it is empty. */
bool startConnecting(int descriptor, const Endpoint &to, const std::string &from)
{
    const std::optional<sockaddr_storage> local = socketAddressOf({from, 0});
    if (local
        && bind(descriptor, reinterpret_cast<const sockaddr *>(&*local), sizeof(sockaddr_in)) < 0)
        return false;
    const std::optional<sockaddr_storage> remote = socketAddressOf(to);
    return connect(descriptor, reinterpret_cast<const sockaddr *>(&*remote), sizeof(sockaddr_in))
        == 0
        || errno == EINPROGRESS;
}

CloseReason reasonOf(int error)
{
    if (error == ECONNRESET || error == EPIPE)
        return CloseReason::Reset;
    return error == ETIMEDOUT ? CloseReason::TimedOut : CloseReason::Failed;
}

bool isTransient(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

std::string_view nameOf(CloseReason reason)
{
    switch (reason) {
    case CloseReason::PeerClosed:
        return "closed";
    case CloseReason::Reset:
        return "reset";
    case CloseReason::TimedOut:
        return "timed-out";
    case CloseReason::Failed:
        break;
    }
    return "failed";
}

StreamSocket::StreamSocket(EventLoop &loop, StreamSocketEvents &events, int descriptor,
                           UnreadBytes unread)
    : m_loop(loop), m_events(events), m_descriptor(descriptor)
{
    setOptions(m_descriptor, unread);
    m_loop.watch(m_descriptor, *this);
}

StreamSocket::StreamSocket(EventLoop &loop, StreamSocketEvents &events, const Endpoint &to,
                           const std::string &from)
    : m_loop(loop), m_events(events), m_connecting(true)
{
    const std::optional<sockaddr_storage> address = socketAddressOf(to);
    if (address)
        m_descriptor = socket(address->ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_descriptor >= 0) {
        setOptions(m_descriptor, UnreadBytes::EndConnection);
        if (startConnecting(m_descriptor, to, from)) {
            m_loop.watch(m_descriptor, *this);
            updateInterest();
            return;
        }
        ::close(m_descriptor);
        m_descriptor = -1;
    }
    // Reported asynchronously, as the owner can't handle calls while it constructs the socket.
    m_loop.defer([this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            m_events.onEnd(CloseReason::Failed);
    });
}

StreamSocket::~StreamSocket()
{
    release();
}

void StreamSocket::release()
{
    if (m_descriptor < 0)
        return;
    m_loop.unwatch(m_descriptor);
    ::close(m_descriptor);
    m_descriptor = -1;
}

void StreamSocket::send(std::string_view bytes)
{
    if (m_descriptor < 0)
        return;
    if (unsentBytes() == 0 && !m_connecting)
        bytes.remove_prefix(sendNow(bytes));
    if (bytes.empty())
        return;
    if (m_shared) {
        m_sendBuffer.append(std::string_view(*m_shared).substr(m_sharedOffset));
        m_shared.reset();
    }
    trimBuffer();
    m_sendBuffer.append(bytes);
    updateInterest();
}

void StreamSocket::send(std::shared_ptr<const std::string> bytes)
{
    if (m_shared) {
        send(std::string_view(*bytes));
        return;
    }
    if (m_descriptor < 0)
        return;
    m_sharedOffset = unsentBytes() == 0 && !m_connecting ? sendNow(*bytes) : 0;
    if (m_sharedOffset == bytes->size())
        return;
    m_shared = std::move(bytes);
    updateInterest();
}

std::size_t StreamSocket::unsentBytes() const
{
    return m_sendBuffer.size() - m_sendOffset + (m_shared ? m_shared->size() - m_sharedOffset : 0);
}

std::size_t StreamSocket::sendNow(std::string_view bytes)
{
    if (bytes.empty())
        return 0;
    const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent >= 0)
        return static_cast<std::size_t>(sent);
    recordSendError(errno);
    return 0;
}

void StreamSocket::trimBuffer()
{
    // A peer that reads slowly but steadily may never let the buffer become empty.
    if (m_sendOffset < m_sendBuffer.size() / 2 + 1)
        return;
    std::string rest = m_sendBuffer.substr(m_sendOffset);
    if (m_sendBuffer.capacity() > MaxSpareBuffer)
        m_sendBuffer = std::move(rest);
    else
        m_sendBuffer.assign(rest);
    m_sendOffset = 0;
}

void StreamSocket::setReading(bool reading)
{
    if (m_reading == reading)
        return;
    m_reading = reading;
    updateInterest();
}

void StreamSocket::updateInterest()
{
    if (m_descriptor < 0)
        return;
    m_loop.setInterest(m_descriptor, m_reading && !m_connecting, m_connecting || unsentBytes() > 0);
}

void StreamSocket::shutdownSend()
{
    m_shutdownRequested = true;
    shutDownIfSent();
}

void StreamSocket::shutDownIfSent()
{
    if (m_shutdownRequested && m_descriptor >= 0 && unsentBytes() == 0)
        shutdown(m_descriptor, SHUT_WR);
}

void StreamSocket::close()
{
    if (m_descriptor >= 0 && unsentBytes() > 0)
        flush();
    release();
}

void StreamSocket::abort()
{
    if (m_descriptor < 0)
        return;
    const linger reset {1, 0};
    static_cast<void>(setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset));
    release();
}

void StreamSocket::end(CloseReason how)
{
    release();
    m_events.onEnd(how);
}

void StreamSocket::onReadable()
{
    if (m_connecting) {
        finishConnect();
        return;
    }
    const std::weak_ptr alive(m_alive);
    std::array<char, ReadBufferBytes> buffer;
    // A full buffer means that more data may be queued; reading on saves an epoll_wait().
    unsigned reads = 0;
    for (bool more = true; more; more = more && ++reads < MaxReadsPerEvent) {
        const ssize_t got = recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (got < 0 && isTransient(errno))
            return;
        if (got <= 0) {
            end(endOf(got < 0 ? errno : 0));
            return;
        }
        more = static_cast<std::size_t>(got) == buffer.size();
        m_events.onData({buffer.data(), static_cast<std::size_t>(got)});
        if (alive.expired() || m_descriptor < 0 || !m_reading)
            return;
    }
}

void StreamSocket::onWritable()
{
    if (m_connecting) {
        finishConnect();
        return;
    }
    flush();
    if (unsentBytes() > 0 || m_descriptor < 0)
        return;
    updateInterest();
    shutDownIfSent();
    m_events.onDrained();
}

void StreamSocket::finishConnect()
{
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        end(CloseReason::Failed);
        return;
    }
    m_connecting = false;
    flush();
    updateInterest();
    m_events.onConnected();
}

void StreamSocket::recordSendError(int error)
{
    if (!isTransient(error))
        m_sendError = error;
}

CloseReason StreamSocket::endOf(int readError) const
{
    // The kernel tells an error once. After a failed send a read finds an orderly end.
    const int error = m_sendError != 0 ? m_sendError : readError;
    return error == 0 ? CloseReason::PeerClosed : reasonOf(error);
}

void StreamSocket::flush()
{
    if (unsentBytes() == 0)
        return;
    const std::size_t before = unsentBytes();
    m_sendOffset += sendNow(std::string_view(m_sendBuffer).substr(m_sendOffset));
    trimBuffer();
    if (m_sendBuffer.empty() && m_shared) {
        m_sharedOffset += sendNow(std::string_view(*m_shared).substr(m_sharedOffset));
        if (m_sharedOffset == m_shared->size())
            m_shared.reset();
    }
    if (unsentBytes() < before)
        m_events.onSent(before - unsentBytes());
}

} // namespace Apricothook
