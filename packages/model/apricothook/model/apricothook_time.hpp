#pragma once

#include <chrono>
#include <cstdint>

namespace Apricothook {

/** A span of time with a resolution of one microsecond. */
using Duration = std::chrono::microseconds;

/** A moment on the steady clock of one process; never compared between processes. */
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Source of the present moment; injected so that tests need no sleep. */
class Clock
{
public:
    virtual ~Clock() = default;
    virtual Instant now() const = 0;
    /** Milliseconds since the Unix epoch, for issue times that other processes read. */
    virtual std::uint64_t wallMilliseconds() const = 0;
};

/** Source of random numbers; injected so that a run can be repeated from its seed. */
class RandomSource
{
public:
    virtual ~RandomSource() = default;
    virtual std::uint64_t next() = 0;
};

} // namespace Apricothook
