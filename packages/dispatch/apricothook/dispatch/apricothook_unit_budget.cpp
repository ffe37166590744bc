#include <apricothook/dispatch/apricothook_unit_budget.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

/** Fractions of the units that the overshoot adds to the rate within a window. */
constexpr double GrantLifetimeFraction = 0.25;
/**
 * The credit can be used at once and again while it refills within the window, so its fraction
 * counts twice.
 */
constexpr double CreditFraction = 0.25;
/**
 * With a longer life, prefetched units would stay unused while requests at other daemons wait for
 * them.
 */
constexpr std::chrono::milliseconds LongestGrantLifetime {500};

/** Units that may be used within any `window` of a limit. */
struct WindowBound
{
    double perSecond = 0;
    double window = 0; ///< In seconds.
    double overshoot = 0;
};

UnitBudget split(const WindowBound &bound, double bucket)
{
    const double spareSeconds = bound.window * bound.overshoot;
    const auto lifetime = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(GrantLifetimeFraction * spareSeconds));
    const double credit = CreditFraction * spareSeconds * bound.perSecond;
    return {
        .perSecond = bound.perSecond,
        .bucket = bucket,
        .credit = credit,
        .creditPerSecond = bound.window > 0 ? credit / bound.window : 0,
        .grantLifetime = std::min<Duration>(lifetime, LongestGrantLifetime),
        .needsWholeFleet = false,
        .ungrantedUnits = std::nullopt,
    };
}

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

UnitBudget budgetOf(const CustomerRule &customer, const FleetBounds &bounds)
{
    const double bucket = customer.burst * (1 + bounds.customerOvershoot) + bounds.customerSlack;
    return split(
        {customer.ratePerSecond, secondsOf(bounds.customerWindow), bounds.customerOvershoot},
        bucket);
}

UnitBudget targetBudget(double perSecond, const FleetBounds &bounds)
{
    const double window = secondsOf(bounds.targetLimitWindow);
    const double lowest = 1 / (window * (1 + bounds.targetLimitOvershoot));
    return split({std::max(perSecond, lowest), window, bounds.targetLimitOvershoot},
                 bounds.targetLimitSlack - 1);
}

UnitBudget rejectionBudget(double rejectionsPerSecond)
{
    constexpr double Part = 3;
    UnitBudget budget;
    budget.perSecond = rejectionsPerSecond / Part;
    budget.bucket = std::max(rejectionsPerSecond / Part, 1.0);
    budget.needsWholeFleet = true;
    return budget;
}

UnitBudgets budgetsOf(const std::vector<CustomerRule> &customers, const FleetBounds &bounds)
{
    UnitBudgets budgets;
    for (const CustomerRule &customer : customers) {
        if (customer.ratePerSecond > 0)
            budgets.emplace(customerHash(customer.name), budgetOf(customer, bounds));
    }
    return budgets;
}

std::uint64_t customerHash(const CustomerId &customer)
{
    return hashOf(customer.text());
}

} // namespace Apricothook
