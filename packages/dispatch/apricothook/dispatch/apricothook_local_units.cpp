#include <apricothook/dispatch/apricothook_local_units.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Apricothook {

namespace {

/** Short enough to follow a surge, long enough to cover some requests of a typical customer. */
constexpr double RateDecaySeconds = 1;

double secondsBetween(Instant from, Instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

void LocalUnits::add(double units, Instant until)
{
    m_grants.push_back({units, until});
}

double LocalUnits::granted(Instant now)
{
    std::erase_if(m_grants, [now](const Grant &grant) { return grant.until <= now; });
    double sum = 0;
    for (const Grant &grant : m_grants)
        sum += grant.units;
    return sum;
}

bool LocalUnits::tryTake(double units, Instant now)
{
    if (granted(now) < units)
        return false;
    for (double remaining = units; remaining > 0;) {
        const double taken = std::min(remaining, m_grants.front().units);
        m_grants.front().units -= taken;
        remaining -= taken;
        if (m_grants.front().units <= 0)
            m_grants.pop_front();
    }
    return true;
}

bool LocalUnits::tryTakeCredit(double units, const UnitBudget &budget, std::size_t daemons,
                               Instant now)
{
    const double share = 1.0 / static_cast<double>(std::max<std::size_t>(daemons, 1));
    const double refilled
        = secondsBetween(std::exchange(m_creditUpdated, now), now) * budget.creditPerSecond * share;
    m_usedCredit = std::max(m_usedCredit - refilled, 0.0);
    if (m_usedCredit + units > budget.credit * share)
        return false;
    m_usedCredit += units;
    return true;
}

void LocalUnits::recordAdmitted(double units, Instant now)
{
    const double decay
        = std::exp(-secondsBetween(std::exchange(m_rateUpdated, now), now) / RateDecaySeconds);
    m_rate = m_rate * decay + units / RateDecaySeconds;
}

double LocalUnits::expectedDemand(Duration time, Instant now)
{
    const double decay = std::exp(-secondsBetween(m_rateUpdated, now) / RateDecaySeconds);
    return m_rate * decay * std::chrono::duration<double>(time).count();
}

} // namespace Apricothook
