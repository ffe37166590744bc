#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <random>

namespace Apricothook {

/** Random numbers from a seed of the system's entropy source. Not thread-safe. */
class SystemRandom : public RandomSource
{
public:
    SystemRandom()
        : m_engine((static_cast<std::uint64_t>(std::random_device()()) << 32)
                   | std::random_device()())
    {
    }
    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace Apricothook
