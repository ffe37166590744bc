#include <apricothook/dispatch/apricothook_customer_budget.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

/** Parts of what the overshoot adds to the rate in a window. */
constexpr double GrantLifePart = 0.25;
/** Credit is used at once and refilled in a window, so its part counts twice. */
constexpr double CreditPart = 0.25;
/** Granted ahead for longer, units are kept from the daemons whose callers come first. */
constexpr std::chrono::milliseconds LongestGrantLife {500};

} // namespace

CustomerBudget budgetOf(const CustomerRule &customer, const FleetBounds &bounds)
{
    const double window = std::chrono::duration<double>(bounds.customerWindow).count();
    const double rate = customer.ratePerSecond;
    const double spareSeconds = window * bounds.customerOvershoot;
    const auto life = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(GrantLifePart * spareSeconds));
    const double credit = CreditPart * spareSeconds * rate;
    return {
        .perSecond = rate,
        .bucket = customer.burst * (1 + bounds.customerOvershoot) + bounds.customerSlack,
        .credit = credit,
        .creditPerSecond = window > 0 ? credit / window : 0,
        .grantLife = std::min<Duration>(life, LongestGrantLife),
    };
}

std::uint64_t customerHash(const CustomerId &customer)
{
    return hashOf(customer.text());
}

} // namespace Apricothook
