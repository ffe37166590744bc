#pragma once

#include <apricothook/eventloop/apricothook_listener.hpp>

#include <cstddef>
#include <cstdint>

namespace Apricothook {

/** What the platform lets a process use; a process that exceeds its memory is killed. */
struct ProcessLimits
{
    std::uint64_t memoryBytes = 256'000'000;
    /** Including those for files. */
    std::size_t descriptors = 4096;

    auto operator<=>(const ProcessLimits &) const = default;
};

/**
 * What a daemon keeps for all of its callers together, so that it stays within the limits of its
 * process whatever they send. docs/design/caller-memory.md tells who is refused or closed when a
 * limit is reached.
 */
struct CallerResources
{
    /** Bytes of a connection up to which it counts as small. */
    static constexpr std::size_t SmallBytes = 65536;

    /** Bytes held for all connections: heads, bodies, responses, and the connections themselves. */
    std::uint64_t heldBytes = 0;
    /** Part of them that may be used for what connections hold beyond SmallBytes each. */
    std::uint64_t largeBytes = 0;
    /** Connections open at the same time. */
    std::size_t connections = 0;
    /** Unsent bytes of a connection's responses above which its next request waits. */
    std::size_t unsentBytes = 65536;
    /** Buffers of each connection in the kernel; what is in them isn't held. */
    BufferSizes buffers {};
    /** Connections open at the same time at each port that serves no requests to targets. */
    std::size_t otherConnections = 0;

    auto operator<=>(const CallerResources &) const = default;
};

CallerResources callerResources(const ProcessLimits &process);

} // namespace Apricothook
