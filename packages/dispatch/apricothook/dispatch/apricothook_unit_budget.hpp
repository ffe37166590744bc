#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace Apricothook {

/**
 * Splits the units of a limit that may be used within a window. Units of a target's limit are
 * requests.
 *
 * The limit of a window is what rate and burst allow, multiplied by one plus the overshoot, plus
 * the slack. A single bucket for the whole fleet, refilled at the plain rate, grants at most
 * `perSecond` times the window plus `bucket` in any window. The remainder, which the overshoot adds
 * to the rate, covers what a bucket used by several daemons can't track: a quarter for units that
 * are granted and used later, a quarter for two daemons that grant at the same time for a moment,
 * and half for daemons that reach no grantor. Each of these is capped in time or in units, so the
 * sum stays within the limit.
 */
struct UnitBudget
{
    double perSecond = 0;
    /** Capacity of the bucket. */
    double bucket = 0;
    /**
     * Units that all daemons together may admit without a grantor: this many at once, and as many
     * again per window.
     */
    double credit = 0;
    double creditPerSecond = 0;
    /** Time after which granted units expire. */
    Duration grantLifetime {};
    /**
     * Only a grantor that reaches the fleet grants units. Others grant a fraction, which isn't
     * possible with a few units in all.
     */
    bool needsWholeFleet = false;
    /**
     * Units that aren't known to be granted: a grantor has no more than these, and starts with them
     * if no other grantor hands the limit over. Empty if nothing is known of them.
     */
    std::optional<double> ungrantedUnits;

    auto operator<=>(const UnitBudget &) const = default;
};

UnitBudget budgetOf(const CustomerRule &customer, const FleetBounds &bounds);

/**
 * The budget of a target that takes so many requests per second.
 *
 * A limit near zero would keep a target without answers, which alone can raise it. One unit of the
 * slack therefore pays for a request in each window of the limit's bound, however low the limit is.
 */
UnitBudget targetBudget(double perSecond, const FleetBounds &bounds);

/**
 * The budget of requests that a target may have to reject, if it bears so many rejections a second.
 * The rest is left for requests that other services send it.
 */
UnitBudget rejectionBudget(double rejectionsPerSecond);

/** Hash of a customer's name, for messages between daemons. */
std::uint64_t customerHash(const CustomerId &customer);

/** The budgets of limits, by the limit's hash. */
using UnitBudgets = std::map<std::uint64_t, UnitBudget>;

/** The budgets of all customers with a limit, by customerHash(). */
UnitBudgets budgetsOf(const std::vector<CustomerRule> &customers, const FleetBounds &bounds);

/** What a request needs of its customer's limit. */
struct UnitDemand
{
    double units = 0;
    /** Fraction of the bucket that the request must leave to others, 0 to 1. */
    double reservedFraction = 0;

    auto operator<=>(const UnitDemand &) const = default;
};

} // namespace Apricothook
