#include <apricothook/dispatch/apricothook_customer_budget.hpp>

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

} // namespace

CustomerBudget budgetOf(const CustomerRule &customer, const FleetBounds &bounds)
{
    const double window = std::chrono::duration<double>(bounds.customerWindow).count();
    const double rate = customer.ratePerSecond;
    const double spareSeconds = window * bounds.customerOvershoot;
    const auto lifetime = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(GrantLifetimeFraction * spareSeconds));
    const double credit = CreditFraction * spareSeconds * rate;
    return {
        .perSecond = rate,
        .bucket = customer.burst * (1 + bounds.customerOvershoot) + bounds.customerSlack,
        .credit = credit,
        .creditPerSecond = window > 0 ? credit / window : 0,
        .grantLifetime = std::min<Duration>(lifetime, LongestGrantLifetime),
    };
}

std::uint64_t customerHash(const CustomerId &customer)
{
    return hashOf(customer.text());
}

} // namespace Apricothook
