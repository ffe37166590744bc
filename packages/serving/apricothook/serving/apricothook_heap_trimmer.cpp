#include <apricothook/serving/apricothook_heap_trimmer.hpp>

#include <malloc.h>

#include <algorithm>

namespace Apricothook {

namespace {

/** Buffers of this size and more get pages of their own. */
constexpr int PagesThreshold = 131072;
/** Below this peak there is nothing to gain. */
constexpr std::uint64_t LeastPeak = 8'000'000;
constexpr std::uint64_t TrimDivisor = 4;

} // namespace

HeapTrimmer::HeapTrimmer()
{
    // Without a fixed threshold, the library raises it to the size of the largest freed buffer.
    mallopt(M_MMAP_THRESHOLD, PagesThreshold);
}

void HeapTrimmer::review(std::uint64_t held)
{
    m_peak = std::max(m_peak, held);
    if (m_peak < LeastPeak || held > m_peak / TrimDivisor)
        return;
    malloc_trim(0);
    m_peak = held;
}

} // namespace Apricothook
