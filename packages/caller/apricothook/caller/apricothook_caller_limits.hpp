#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>

namespace Apricothook {

/** What callers may use of this daemon; may change while it runs. */
struct CallerLimits
{
    std::uint64_t maximumBodyBytes = 8ULL << 20;
    /** Bodies held at the same time, from their first byte until their request ends. */
    std::uint64_t maximumHeldBodyBytes = 256ULL << 20;
    /** Request line and headers; a connection has 16 KiB for these and its answer's. */
    std::size_t maximumHeaderBytes = 8UL * 1024;
    std::uint32_t maximumConnections = 12000;
    /** From the connection's start, or the end of its last request, to the end of the headers. */
    Duration headerTimeout = std::chrono::seconds(30);
    /** From the end of the headers to the end of the body, however steadily it drips. */
    Duration bodyTimeout = std::chrono::seconds(30);
    auto operator<=>(const CallerLimits &) const = default;
};

} // namespace Apricothook
