#pragma once

#include <cstdint>

namespace Apricothook {

/**
 * Keeps the memory of freed buffers from staying with the process.
 *
 * Large buffers get pages of their own, which go back to the system when they are freed. Small ones
 * don't; their pages are given back when much less is held than there was.
 */
class HeapTrimmer
{
public:
    HeapTrimmer();
    /** To be called about once a second; `held`: bytes held in buffers now. */
    void review(std::uint64_t held);

private:
    std::uint64_t m_peak = 0;
};

} // namespace Apricothook
