#pragma once

#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/peers/apricothook_peer_counters.hpp>
#include <apricothook/peers/apricothook_peer_keys.hpp>
#include <apricothook/ports/apricothook_core_ports.hpp>

#include <memory>

namespace Apricothook {

class CoreInbox;
class PeerSocket;

/** Largest datagram that several messages share; fits the usual MTU of 1,500 without fragments. */
constexpr std::size_t SharedDatagramBytes = 1200;
/** Largest message; it goes alone and IP fragments it, so that one lost fragment loses it. */
constexpr std::size_t MaximumMessageBytes = 60'000;

enum class TransportError {
    NoKey,
    BadAddress,
    CannotBind, ///< The address is in use or isn't of this VM.
};

/**
 * Messages between daemons as authenticated UDP datagrams.
 *
 * send() and flush() belong to one thread, the core's: messages wait until flush(), are packed by
 * member and leave at once without blocking; what the kernel doesn't take is lost and counted. A
 * thread of the transport receives, checks and gives PeerMessageReceived to the core.
 */
class PeerTransport : public PeerPort
{
public:
    static Result<std::unique_ptr<PeerTransport>, TransportError> open(const MemberInstance &self,
                                                                       const Endpoint &address,
                                                                       const PeerKeys &keys,
                                                                       CoreInbox &inbox);
    ~PeerTransport() override;

    void send(const MemberId &to, const Endpoint &address, const PeerMessage &message) override;
    void flush() override;
    /** Ends the receiving thread; nothing is given to the core after it. */
    void stop();
    /** Of any thread; figures may be a message apart. */
    PeerCounters counters() const;

private:
    explicit PeerTransport(std::unique_ptr<PeerSocket> socket);

    std::unique_ptr<PeerSocket> m_socket;
};

} // namespace Apricothook
