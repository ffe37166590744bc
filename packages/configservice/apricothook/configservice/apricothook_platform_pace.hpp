#pragma once

#include <apricothook/model/apricothook_time.hpp>

namespace Apricothook {

/** Numbers of the reads of the platform; docs/CONFIGURATION.md adds them up for a fleet. */
struct PlatformPaceLimits
{
    /** How long the platform holds a watch open. */
    Duration watchWait = std::chrono::seconds(30);
    /** Between the ends and starts of two reads, however fast the platform answers. */
    Duration watchSpacing = std::chrono::milliseconds(250);
    /** Between two reads of the list of VMs. */
    Duration vmSpacing = std::chrono::seconds(2);
    Duration firstRetry = std::chrono::milliseconds(500);
    Duration lastRetry = std::chrono::seconds(10);
    auto operator<=>(const PlatformPaceLimits &) const = default;
};

/**
 * Says how long to wait before the next read. Retries are ever more seldom and jittered, so that
 * all watchers together don't meet a platform that has just come back.
 */
class PlatformPace
{
public:
    PlatformPace(Duration spacing, const PlatformPaceLimits &limits);
    Duration afterAnswer(RandomSource &random);
    Duration afterFailure(RandomSource &random);

private:
    Duration m_spacing;
    PlatformPaceLimits m_limits;
    Duration m_retry;
};

} // namespace Apricothook
