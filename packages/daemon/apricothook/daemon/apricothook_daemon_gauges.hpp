#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace Apricothook {

/** Figures of one daemon at one moment, for the metrics. */
struct DaemonGauges
{
    std::uint64_t generation = 0;
    std::size_t exchanges = 0;
    std::size_t callerConnections = 0;
    std::size_t coreRing = 0;
    std::uint64_t peerBytesSent = 0;
    std::uint64_t peerBytesReceived = 0;
    std::uint64_t peerDatagramsSent = 0;
    std::uint64_t platformReads = 0;
    std::uint64_t rpcBytes = 0;
    auto operator<=>(const DaemonGauges &) const = default;
};

} // namespace Apricothook
