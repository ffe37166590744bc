#include <apricothook/peers/apricothook_peer_transport.hpp>
#include <apricothook/peers/internal/apricothook_peer_address.hpp>
#include <apricothook/peers/internal/apricothook_peer_socket.hpp>

namespace Apricothook {

Result<std::unique_ptr<PeerTransport>, TransportError>
PeerTransport::open(const MemberInstance &self, const Endpoint &address, const PeerKeys &keys,
                    CoreInbox &inbox)
{
    if (keys.empty())
        return TransportError::NoKey;
    const std::optional<ACE_INET_Addr> local = socketAddress(address);
    if (!local)
        return TransportError::BadAddress;
    auto socket = std::make_unique<PeerSocket>(self, keys, inbox);
    if (!socket->open(*local))
        return TransportError::CannotBind;
    return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(socket)));
}

PeerTransport::PeerTransport(std::unique_ptr<PeerSocket> socket) : m_socket(std::move(socket)) { }

PeerTransport::~PeerTransport() = default;

void PeerTransport::send(const MemberId &to, const Endpoint &address, const PeerMessage &message)
{
    m_socket->send(to, address, message);
}

void PeerTransport::flush()
{
    m_socket->flush();
}

void PeerTransport::stop()
{
    m_socket->stop();
}

PeerCounters PeerTransport::counters() const
{
    return m_socket->counters();
}

} // namespace Apricothook
