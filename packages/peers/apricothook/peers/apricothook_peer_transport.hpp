#pragma once

#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/peers/apricothook_peer_counters.hpp>
#include <apricothook/peers/apricothook_peer_keys.hpp>
#include <apricothook/ports/apricothook_core_ports.hpp>

#include <memory>

namespace Apricothook {

class CoreInbox;
class PeerSocket;

/** Largest datagram with several messages; fits the usual MTU of 1,500 without fragmentation. */
constexpr std::size_t SharedDatagramBytes = 1200;
/**
 * Largest message. One that exceeds SharedDatagramBytes gets a datagram of its own, which IP
 * fragments, so that the loss of one fragment loses the message.
 */
constexpr std::size_t MaximumMessageBytes = 60'000;

enum class TransportError {
    NoKey,
    BadAddress,
    CannotBind, ///< The address is in use or doesn't belong to this VM.
};

/**
 * Sends and receives messages between daemons as authenticated UDP datagrams.
 *
 * Only the core's thread may call send() and flush(). send() queues a message; flush() packs the
 * queued messages by member and sends them without blocking. Datagrams that the kernel doesn't
 * accept are dropped and counted. The transport's own thread receives and authenticates datagrams
 * and posts a PeerMessageReceived for each message to the core.
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
    /** Stops the receiving thread. Afterwards, no further events are posted to the core. */
    void stop();
    /** Thread-safe. The counters aren't read atomically and may differ by a message. */
    PeerCounters counters() const;

private:
    explicit PeerTransport(std::unique_ptr<PeerSocket> socket);

    std::unique_ptr<PeerSocket> m_socket;
};

} // namespace Apricothook
