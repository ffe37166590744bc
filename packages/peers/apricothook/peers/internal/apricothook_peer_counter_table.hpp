#pragma once

#include <apricothook/peers/apricothook_peer_counters.hpp>

#include <atomic>

namespace Apricothook {

/** The counters while two threads add to them. */
class PeerCounterTable
{
public:
    using Counter = std::atomic<std::uint64_t>;

    struct Kind
    {
        Counter messages = 0;
        Counter bytes = 0;
    };

    std::array<Kind, PeerMessageKinds> sent;
    std::array<Kind, PeerMessageKinds> received;
    Counter datagramsSent = 0;
    Counter bytesSent = 0;
    Counter datagramsReceived = 0;
    Counter bytesReceived = 0;
    Counter tooLong = 0;
    Counter sendFailures = 0;
    std::array<Counter, 5> refused {};
    Counter undecodable = 0;
    Counter unknownKinds = 0;
    Counter inboxFull = 0;

    PeerCounters snapshot() const;
};

} // namespace Apricothook
