#include <apricothook/eventloop/apricothook_listener.hpp>

#include <apricothook/model/apricothook_socket_address.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace Apricothook {

namespace {

/**
 * After a restart all callers of a site may connect at once; with a full backlog they would lose
 * seconds to SYN retransmission.
 */
constexpr int ListenBacklog = 1024;

bool isExhausted(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

void setBufferSize(int descriptor, int option, std::uint32_t bytes)
{
    const int size = static_cast<int>(bytes);
    if (size > 0)
        static_cast<void>(setsockopt(descriptor, SOL_SOCKET, option, &size, sizeof size));
}

} // namespace

Result<std::unique_ptr<Listener>, ListenError>
Listener::open(EventLoop &loop, const Endpoint &address, AcceptHandler accepted,
               ExhaustionHandler exhausted, const BufferSizes &buffers)
{
    const std::optional<sockaddr_storage> bound = socketAddressOf(address);
    if (!bound)
        return ListenError {address, EINVAL};
    const int descriptor = socket(bound->ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return ListenError {address, errno};
    const int reuse = 1;
    static_cast<void>(setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse));
    // Accepted connections inherit the sizes; they must be set before the handshake.
    setBufferSize(descriptor, SO_RCVBUF, buffers.receive);
    setBufferSize(descriptor, SO_SNDBUF, buffers.send);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&*bound), sizeof(sockaddr_in)) < 0
        || listen(descriptor, ListenBacklog) < 0) {
        const ListenError error {address, errno};
        ::close(descriptor);
        return error;
    }
    return std::unique_ptr<Listener>(
        new Listener(loop, descriptor, std::move(accepted), std::move(exhausted)));
}

Listener::Listener(EventLoop &loop, int descriptor, AcceptHandler accepted,
                   ExhaustionHandler exhausted)
    : m_loop(loop)
    , m_descriptor(descriptor)
    , m_acceptHandler(std::move(accepted))
    , m_exhaustionHandler(std::move(exhausted))
{
    m_loop.watch(m_descriptor, *this);
}

Listener::~Listener()
{
    m_loop.cancel(m_pause);
    m_loop.unwatch(m_descriptor);
    ::close(m_descriptor);
}

std::uint16_t Listener::port() const
{
    sockaddr_in bound {};
    socklen_t size = sizeof bound;
    getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&bound), &size);
    return ntohs(bound.sin_port);
}

bool Listener::acceptOne()
{
    const int descriptor = accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor >= 0)
        m_acceptHandler(descriptor);
    return descriptor >= 0;
}

void Listener::acceptWaiting()
{
    // A connection that was aborted while it waited isn't the last one.
    while (acceptOne() || errno == ECONNABORTED || errno == EINTR) { }
}

void Listener::onReadable()
{
    // One connection per loop iteration, so that a burst doesn't delay requests in progress.
    if (!acceptOne() && isExhausted(errno))
        pause(errno);
}

void Listener::pause(int errorNumber)
{
    // A connection that waits is reported again at once, which would take the whole processor.
    m_loop.setInterest(m_descriptor, false, false);
    m_pause = m_loop.after(ExhaustionPause, [this] {
        m_pause = 0;
        m_loop.setInterest(m_descriptor, true, false);
    });
    if (m_exhaustionHandler)
        m_exhaustionHandler(errorNumber);
}

} // namespace Apricothook
