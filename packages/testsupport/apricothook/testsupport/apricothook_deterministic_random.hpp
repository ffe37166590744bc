#pragma once

#include <apricothook/model/apricothook_time.hpp>

namespace Apricothook {

/** SplitMix64 generator with a reproducible sequence for each seed. */
class DeterministicRandom : public RandomSource
{
public:
    explicit DeterministicRandom(std::uint64_t seed = 1) : m_state(seed) { }
    std::uint64_t next() override
    {
        std::uint64_t z = (m_state += 0x9E3779B97F4A7C15ULL);
        z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
        z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
        return z ^ (z >> 31U);
    }

private:
    std::uint64_t m_state;
};

} // namespace Apricothook
