#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <algorithm>
#include <cstdint>

namespace Apricothook {

/** How long to wait for a reply before the message is sent again: doubles from 50 ms to 1.6 s. */
inline Duration resendDelay(std::uint32_t sends)
{
    constexpr std::uint32_t MaximumDoublings = 5;
    constexpr Duration First = std::chrono::milliseconds(50);
    const std::uint32_t doublings = std::min(sends == 0 ? 0 : sends - 1, MaximumDoublings);
    return First * (1U << doublings);
}

} // namespace Apricothook
