#pragma once

#include <cstdint>

namespace Apricothook {

/**
 * What the whole process has allocated so far, counted by a global operator new of this program.
 * Bytes are those that the allocator gave, rounded up as it does.
 */
struct AllocationCount
{
    std::uint64_t allocations = 0;
    std::int64_t liveBytes = 0;
};

AllocationCount allocationsNow();

} // namespace Apricothook
