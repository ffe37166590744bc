#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Apricothook {

/**
 * When targets last began answers to requests with a trait that they lived through. The traits that
 * weren't recorded for the longest time are forgotten.
 */
class SoundTraits
{
public:
    /** Between this number and twice as many traits are remembered. */
    static constexpr std::size_t Capacity = 4096;

    void record(std::uint64_t trait, Instant began);
    std::optional<Instant> lastBegan(std::uint64_t trait) const;
    bool isSoundSince(std::uint64_t trait, Instant time) const;

private:
    using Times = std::unordered_map<std::uint64_t, Instant>;

    Times m_recent;
    Times m_older;
};

} // namespace Apricothook
