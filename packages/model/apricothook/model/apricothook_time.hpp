#pragma once

#include <chrono>
#include <cstdint>

namespace Apricothook {

/** Time span with a resolution of one microsecond. */
using Duration = std::chrono::microseconds;

/** Point in time on the steady clock of this process; not comparable between processes. */
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Provides the current time. Injected, so that tests don't have to sleep. */
class Clock
{
public:
    virtual ~Clock() = default;
    virtual Instant now() const = 0;
    /** Milliseconds since the Unix epoch, for timestamps that other processes read. */
    virtual std::uint64_t wallMilliseconds() const = 0;
};

/** Source of random numbers. Injected, so that a run can be reproduced from its seed. */
class RandomSource
{
public:
    virtual ~RandomSource() = default;
    virtual std::uint64_t next() = 0;
};

} // namespace Apricothook
