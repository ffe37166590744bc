#include <apricothook/gateway/apricothook_caller_resources.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

/** Descriptors that are kept for files. */
constexpr std::size_t ReservedDescriptors = 200;
constexpr std::size_t LeastConnections = 16;
constexpr std::size_t MostOtherConnections = 256;
constexpr BufferSizes Buffers {.receive = 16384, .send = 131072};
/** What the daemon needs for itself: code, configuration, targets, members, logs. */
constexpr std::uint64_t LeastOwnBytes = 48'000'000;
/** Part of the memory that is left for callers, however little there is. */
constexpr std::uint64_t LeastHeldDivisor = 8;

} // namespace

CallerResources callerResources(const ProcessLimits &process)
{
    CallerResources limits;
    const std::size_t sockets
        = process.descriptors > ReservedDescriptors ? process.descriptors - ReservedDescriptors : 0;
    // A quarter is kept for targets, other daemons, the source of items and lookups.
    limits.connections = std::max(sockets / 4 * 3, LeastConnections);
    limits.otherConnections = std::clamp(sockets / 16, LeastConnections / 2, MostOtherConnections);
    limits.buffers = Buffers;
    const std::uint64_t own = std::max(process.memoryBytes / 4, LeastOwnBytes);
    const std::uint64_t unread = limits.connections * limits.buffers.receive;
    const std::uint64_t rest
        = process.memoryBytes > own + unread ? process.memoryBytes - own - unread : 0;
    limits.heldBytes = std::max(rest, process.memoryBytes / LeastHeldDivisor);
    limits.largeBytes = limits.heldBytes / 4 * 3;
    return limits;
}

} // namespace Apricothook
