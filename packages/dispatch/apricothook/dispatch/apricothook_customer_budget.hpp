#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>

namespace Apricothook {

/**
 * How what a customer may have at most in a window is divided; all in units of its limit.
 *
 * The bound of a window is what the rate and the burst give, times one and the overshoot, plus the
 * slack. One bucket of the whole fleet, refilled at the plain rate, gives out `perSecond` times the
 * window and `bucket` in any window. What the overshoot adds to the rate is left, and pays for what
 * a bucket that several daemons use can't see: a quarter for units that were granted and are used
 * later, a quarter for two daemons that both grant for a moment, half for daemons that reach no
 * grantor. Each has its cap in time or in units, so the sum stays within the bound.
 */
struct CustomerBudget
{
    double perSecond = 0;
    /** Most that the bucket holds. */
    double bucket = 0;
    /** Most that all daemons together admit without a grantor, at once and once more a window. */
    double credit = 0;
    double creditPerSecond = 0;
    /** Granted units are void after so long. */
    Duration grantLife {};

    auto operator<=>(const CustomerBudget &) const = default;
};

CustomerBudget budgetOf(const CustomerRule &customer, const FleetBounds &bounds);

/** A short name of a customer for messages between daemons. */
std::uint64_t customerHash(const CustomerId &customer);

/** What a request asks of its customer's limit. */
struct UnitDemand
{
    double units = 0;
    /** Part of the bucket that it must leave to others, 0 to 1. */
    double reservedFraction = 0;

    auto operator<=>(const UnitDemand &) const = default;
};

} // namespace Apricothook
