#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>

#include <array>
#include <cstdint>

namespace Apricothook {

/** Messages of one kind and their encoded size, excluding the seal and datagram headers. */
struct KindCount
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    auto operator<=>(const KindCount &) const = default;
};

constexpr std::size_t PeerMessageKinds = std::variant_size_v<PeerMessage>;

/** Counters of a transport since it was opened. Byte counts are of UDP payloads. */
struct PeerCounters
{
    std::array<KindCount, PeerMessageKinds> sent {};
    std::array<KindCount, PeerMessageKinds> received {};
    std::uint64_t datagramsSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t bytesReceived = 0;
    /** Messages larger than MaximumMessageBytes, which were not sent. */
    std::uint64_t tooLong = 0;
    /** Datagrams that the kernel didn't accept. */
    std::uint64_t sendFailures = 0;
    /** Dropped datagrams, indexed by SealError. */
    std::array<std::uint64_t, 5> refused {};
    /** Authenticated datagrams whose payload couldn't be decoded. */
    std::uint64_t undecodable = 0;
    std::uint64_t unknownKinds = 0;
    /** Messages dropped because the core's inbox was full. */
    std::uint64_t inboxFull = 0;
    auto operator<=>(const PeerCounters &) const = default;
};

} // namespace Apricothook
