#include <apricothook/gateway/internal/apricothook_target_units.hpp>

namespace Apricothook {

namespace {

/**
 * Longest time for which a request waits for a unit of a target's limit: other targets may have
 * free slots.
 */
constexpr std::chrono::milliseconds LongestTargetUnitWait {50};

} // namespace

std::optional<LimitedUnits> unitsFor(const TrackedTarget *target, const FleetBounds &bounds)
{
    if (!target || (!target->limitPerSecond && !target->rejectionUnits))
        return std::nullopt;
    const std::uint64_t hash = targetHash(target->entry.instance());
    if (target->limitPerSecond)
        return LimitedUnits {
            hash, targetBudget(*target->limitPerSecond, bounds), {1, 0}, LongestTargetUnitWait};
    return LimitedUnits {rejectionLimitHash(hash),
                         rejectionBudget(*target->rejectionUnits),
                         {1, 0},
                         LongestTargetUnitWait};
}

} // namespace Apricothook
