#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstddef>

namespace Apricothook {

/** Numbers of the keeper; docs/CONFIGURATION.md says how they were chosen. */
struct ConfigurationLimits
{
    /** Configured members that must have answered a starting daemon. */
    std::size_t joinPeers = 3;
    /** How long a starting daemon waits for them. */
    Duration joinPatience = std::chrono::seconds(3);
    /** First wait before a starting daemon asks again; doubles up to the last. */
    Duration firstAsk = std::chrono::milliseconds(250);
    Duration lastAsk = std::chrono::seconds(8);
    /** How long a member has to give its text before another is asked. */
    Duration fetchPatience = std::chrono::seconds(2);
    /** Members of the own data centre that are told of a new generation or list. */
    std::size_t nearNotices = 3;
    /** Members elsewhere that are told. */
    std::size_t farNotices = 1;
    std::size_t watchersPerDataCentre = 2;
    /** A tick that comes later than this after the one before means that the process stood still.
     */
    Duration lateWake = std::chrono::seconds(3);
    auto operator<=>(const ConfigurationLimits &) const = default;
};

} // namespace Apricothook
