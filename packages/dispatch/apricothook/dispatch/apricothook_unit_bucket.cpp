#include <apricothook/dispatch/apricothook_unit_bucket.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

void UnitBucket::refill(Instant now)
{
    const Duration passed = std::min<Duration>(now - m_refilled, LongestRefill);
    const double seconds = std::chrono::duration<double>(passed).count();
    m_refilled = now;
    m_level = std::min(m_level + seconds * perSecond(), size());
}

void UnitBucket::setBudget(const CustomerBudget &budget, Instant now)
{
    refill(now);
    m_budget = budget;
    m_level = std::min(m_level, size());
}

void UnitBucket::setPart(double part, Instant now)
{
    refill(now);
    m_part = part;
    m_level = std::min(m_level, size());
}

double UnitBucket::needed(const UnitDemand &claim) const
{
    // A full bucket has enough for any request, or one above its size could never run.
    return std::min(claim.reservedFraction * size() + claim.units, size());
}

bool UnitBucket::tryTake(const UnitDemand &claim, Instant now)
{
    refill(now);
    if (m_level < needed(claim))
        return false;
    m_level -= claim.units;
    return true;
}

double UnitBucket::takeAhead(double units, Instant now)
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

Duration UnitBucket::timeUntil(const UnitDemand &claim, Instant now)
{
    refill(now);
    const double missing = needed(claim) - m_level;
    if (missing <= 0 || perSecond() <= 0)
        return Duration::zero();
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / perSecond()));
}

} // namespace Apricothook
