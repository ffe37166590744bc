#pragma once

#include <apricothook/fleetview/apricothook_peer_datagram.hpp>

namespace Apricothook {

/** Sends datagrams to other daemons, and knows how this one presents itself. */
class PeerSender
{
public:
    virtual ~PeerSender() = default;

    /** What isn't sent is lost, as a datagram on the way may be. */
    virtual void send(const Endpoint &to, const PeerDatagram &datagram) = 0;
    /** For a datagram that goes to several. */
    virtual void send(const std::vector<Endpoint> &to, const PeerDatagram &datagram) = 0;
    virtual MemberInfo ownBrief() const = 0;
    /** The highest revision of a published item that this daemon has. */
    virtual std::uint64_t ownRevision() const = 0;
};

} // namespace Apricothook
