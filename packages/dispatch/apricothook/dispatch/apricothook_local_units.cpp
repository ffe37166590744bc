#include <apricothook/dispatch/apricothook_local_units.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Apricothook {

namespace {

/** Short enough to follow a surge, long enough to see some requests of a usual customer. */
constexpr double RateSeconds = 1;

double secondsBetween(Instant from, Instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

void UnitStock::add(double units, Instant until)
{
    m_grants.push_back({units, until});
}

double UnitStock::granted(Instant now)
{
    std::erase_if(m_grants, [now](const Grant &grant) { return grant.until <= now; });
    double sum = 0;
    for (const Grant &grant : m_grants)
        sum += grant.units;
    return sum;
}

bool UnitStock::tryTake(double units, Instant now)
{
    if (granted(now) < units)
        return false;
    for (double left = units; left > 0;) {
        const double taken = std::min(left, m_grants.front().units);
        m_grants.front().units -= taken;
        left -= taken;
        if (m_grants.front().units <= 0)
            m_grants.pop_front();
    }
    return true;
}

bool UnitStock::tryTakeCredit(double units, const CustomerBudget &budget, std::size_t daemons,
                              Instant now)
{
    const double part = 1.0 / static_cast<double>(std::max<std::size_t>(daemons, 1));
    const double back
        = secondsBetween(std::exchange(m_creditChanged, now), now) * budget.creditPerSecond * part;
    m_creditUsed = std::max(m_creditUsed - back, 0.0);
    if (m_creditUsed + units > budget.credit * part)
        return false;
    m_creditUsed += units;
    return true;
}

void UnitStock::noteAdmitted(double units, Instant now)
{
    const double kept
        = std::exp(-secondsBetween(std::exchange(m_rateChanged, now), now) / RateSeconds);
    m_rate = m_rate * kept + units / RateSeconds;
}

double UnitStock::expected(Duration time, Instant now)
{
    const double kept = std::exp(-secondsBetween(m_rateChanged, now) / RateSeconds);
    return m_rate * kept * std::chrono::duration<double>(time).count();
}

} // namespace Apricothook
