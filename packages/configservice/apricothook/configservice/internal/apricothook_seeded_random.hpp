#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <random>

namespace Apricothook {

/** For jitter; for one thread. */
class SeededRandom : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed) : m_engine(seed) { }
    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace Apricothook
