#include <apricothook/eventloop/apricothook_datagram_socket.hpp>

#include <apricothook/model/apricothook_socket_address.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace Apricothook {

Result<std::unique_ptr<DatagramSocket>, ListenError>
DatagramSocket::open(EventLoop &loop, const Endpoint &address, ReceiveHandler received)
{
    const std::optional<sockaddr_storage> bound = socketAddressOf(address);
    if (!bound)
        return ListenError {address, EINVAL};
    const int descriptor = socket(bound->ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return ListenError {address, errno};
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&*bound), sizeof(sockaddr_in)) < 0) {
        const ListenError error {address, errno};
        ::close(descriptor);
        return error;
    }
    return std::unique_ptr<DatagramSocket>(
        new DatagramSocket(loop, descriptor, std::move(received)));
}

DatagramSocket::DatagramSocket(EventLoop &loop, int descriptor, ReceiveHandler received)
    : m_loop(loop), m_descriptor(descriptor), m_receiveHandler(std::move(received))
{
    m_loop.watch(m_descriptor, *this);
}

DatagramSocket::~DatagramSocket()
{
    m_loop.unwatch(m_descriptor);
    ::close(m_descriptor);
}

void DatagramSocket::send(const Endpoint &to, std::string_view bytes)
{
    const std::optional<sockaddr_storage> address = socketAddressOf(to);
    if (address)
        sendto(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL,
               reinterpret_cast<const sockaddr *>(&*address), sizeof(sockaddr_in));
}

void DatagramSocket::onReadable()
{
    std::array<char, MaxDatagramBytes> buffer;
    while (true) {
        const ssize_t got = recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (got <= 0)
            return;
        m_receiveHandler({buffer.data(), static_cast<std::size_t>(got)});
    }
}

} // namespace Apricothook
