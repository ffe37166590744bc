#pragma once

#include <atomic>
#include <cstdint>

namespace Apricothook {

/** Counts of one daemon since its start; read by the metrics thread. */
struct PlatformCounters
{
    /** Calls of the platform, a waiting watch as one. */
    std::atomic<std::uint64_t> platformReads {0};
    std::atomic<std::uint64_t> platformFailures {0};
    std::atomic<std::uint64_t> textsFetched {0};
    std::atomic<std::uint64_t> textFetchFailures {0};
    /** Pieces pulled, and pieces that were at hand already. */
    std::atomic<std::uint64_t> piecesPulled {0};
    std::atomic<std::uint64_t> piecesReused {0};
    /** Bodies of calls between members, both ways, at the calling side. */
    std::atomic<std::uint64_t> rpcBytes {0};
    std::atomic<std::uint64_t> rpcCallsServed {0};
    std::atomic<std::uint64_t> rpcCallsRefused {0};
};

} // namespace Apricothook
