#pragma once

#include <apricothook/fleetview/apricothook_peer_datagram.hpp>

namespace Apricothook {

/** Sends datagrams to other daemons, and provides the state that this daemon reports of itself. */
class PeerSender
{
public:
    virtual ~PeerSender() = default;

    /** Datagrams that can't be sent are dropped, as the network may drop any datagram. */
    virtual void send(const Endpoint &to, const PeerDatagram &datagram) = 0;
    /** Sends the same datagram to several receivers. */
    virtual void send(const std::vector<Endpoint> &to, const PeerDatagram &datagram) = 0;
    virtual MemberInfo ownInfo() const = 0;
    /** The highest revision of a published item that this daemon has. */
    virtual std::uint64_t ownRevision() const = 0;
    virtual ViewReport ownView() const = 0;
};

} // namespace Apricothook
