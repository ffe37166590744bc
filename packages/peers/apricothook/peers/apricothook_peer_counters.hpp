#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>

#include <array>
#include <cstdint>

namespace Apricothook {

/** Messages of one kind and their encoded bytes, without seal and datagram. */
struct KindCount
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    auto operator<=>(const KindCount &) const = default;
};

constexpr std::size_t PeerMessageKinds = std::variant_size_v<PeerMessage>;

/** What went through a transport since it was opened. Bytes are of UDP payloads. */
struct PeerCounters
{
    std::array<KindCount, PeerMessageKinds> sent {};
    std::array<KindCount, PeerMessageKinds> received {};
    std::uint64_t datagramsSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t bytesReceived = 0;
    /** Messages above MaximumMessageBytes, never sent. */
    std::uint64_t tooLong = 0;
    /** Datagrams that the kernel didn't take. */
    std::uint64_t sendFailures = 0;
    /** Datagrams dropped, by SealError in its order. */
    std::array<std::uint64_t, 5> refused {};
    /** Authenticated datagrams whose payload wasn't messages. */
    std::uint64_t undecodable = 0;
    std::uint64_t unknownKinds = 0;
    /** Messages dropped because the core was behind. */
    std::uint64_t inboxFull = 0;
    auto operator<=>(const PeerCounters &) const = default;
};

} // namespace Apricothook
