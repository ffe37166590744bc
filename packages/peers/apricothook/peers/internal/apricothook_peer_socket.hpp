#pragma once

#include <apricothook/peers/apricothook_peer_codec.hpp>
#include <apricothook/peers/apricothook_peer_seal.hpp>
#include <apricothook/peers/internal/apricothook_peer_counter_table.hpp>
#include <apricothook/peers/internal/apricothook_peer_packer.hpp>
#include <apricothook/ports/apricothook_core_inbox.hpp>

#include <ace/SOCK_Dgram.h>
#include <ace/Task.h>

#include <atomic>

namespace Apricothook {

/** UDP socket of a transport and the thread that receives from it. */
class PeerSocket : public ACE_Task_Base
{
public:
    PeerSocket(const MemberInstance &self, const PeerKeys &keys, CoreInbox &inbox);
    ~PeerSocket() override;
    bool open(const ACE_INET_Addr &address);

    void send(const MemberId &to, const Endpoint &address, const PeerMessage &message);
    void flush();
    void stop();
    PeerCounters counters() const { return m_counters.snapshot(); }

    int svc() override;

private:
    void sendDatagram(const PackedMessages &packed);
    void receiveDatagram(std::string &buffer);
    void handleDatagram(std::string_view datagram, const Endpoint &address);
    void deliver(const MemberInstance &from, const Endpoint &address, DecodedMessage decoded);

    CoreInbox &m_inbox;
    PeerSealer m_sealer;
    PeerOpener m_opener;
    PeerPacker m_packer;
    PeerCounterTable m_counters;
    ACE_SOCK_Dgram m_socket;
    std::atomic<bool> m_isStopping = false;
};

} // namespace Apricothook
