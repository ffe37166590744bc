#pragma once

#include <apricothook/model/apricothook_time.hpp>

namespace Apricothook {

/** What a request that arrives while the process shuts down would take, and the time there is. */
struct ShutdownForecast
{
    Duration expected {};
    /** Until the process ends. */
    Duration left {};

    bool isInTime() const { return expected <= left; }
    bool operator==(const ShutdownForecast &other) const = default;
};

} // namespace Apricothook
