#pragma once

#include <apricothook/dispatch/apricothook_fleet_rate_limiter.hpp>
#include <apricothook/dispatch/apricothook_target_table.hpp>

#include <optional>

namespace Apricothook {

/** The units that a request to the target needs; empty if none of its limits applies. */
std::optional<LimitedUnits> unitsFor(const TrackedTarget *target, const FleetBounds &bounds);

} // namespace Apricothook
