#include <apricothook/dispatch/apricothook_unit_bucket.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

void UnitBucket::refill(Instant now)
{
    const Duration elapsed = std::min<Duration>(now - m_lastRefill, LongestRefill);
    const double seconds = std::chrono::duration<double>(elapsed).count();
    m_lastRefill = now;
    m_level = std::min(m_level + seconds * perSecond(), size());
}

void UnitBucket::setBudget(const UnitBudget &budget, Instant now)
{
    refill(now);
    m_budget = budget;
    m_level = std::min({m_level, size(), budget.ungrantedUnits.value_or(m_level)});
}

void UnitBucket::setLimitFraction(double limitFraction, Instant now)
{
    refill(now);
    m_limitFraction = limitFraction;
    m_level = std::min(m_level, size());
}

double UnitBucket::needed(const UnitDemand &demand) const
{
    // A full bucket suffices for any request, or one larger than the bucket could never run.
    return std::min(demand.reservedFraction * size() + demand.units, size());
}

bool UnitBucket::tryTake(const UnitDemand &demand, Instant now)
{
    refill(now);
    if (!mayGrant() || m_level < needed(demand))
        return false;
    m_level -= demand.units;
    return true;
}

double UnitBucket::takePrefetch(double units, Instant now)
{
    refill(now);
    const double taken = std::clamp(m_level - size() / 2, 0.0, units);
    m_level -= taken;
    return taken;
}

void UnitBucket::add(double units, Instant now)
{
    refill(now);
    m_level = std::min(m_level + units, size());
}

double UnitBucket::takeAll(Instant now)
{
    refill(now);
    return std::max(std::exchange(m_level, std::min(m_level, 0.0)), 0.0);
}

Duration UnitBucket::timeUntilAvailable(const UnitDemand &demand, Instant now)
{
    refill(now);
    const double missing = needed(demand) - m_level;
    if (missing <= 0 || perSecond() <= 0)
        return Duration::zero();
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / perSecond()));
}

} // namespace Apricothook
