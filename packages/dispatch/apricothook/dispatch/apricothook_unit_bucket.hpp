#pragma once

#include <apricothook/dispatch/apricothook_unit_budget.hpp>
#include <apricothook/model/apricothook_time.hpp>

namespace Apricothook {

/**
 * The units of a customer that its grantor may still grant. Empty at first: the level of the bucket
 * at another daemon isn't known, so no unit is granted twice.
 */
class UnitBucket
{
public:
    UnitBucket() = default;
    UnitBucket(const UnitBudget &budget, Instant now) : m_budget(budget), m_lastRefill(now) { }

    /**
     * A longer time without a call adds no units: the daemon was stalled, and another may have
     * granted in its place. The bucket is refilled more often than this.
     */
    static constexpr std::chrono::milliseconds LongestRefill {500};

    void refill(Instant now);
    /** Time that has passed counts at the previous rate. */
    void setBudget(const UnitBudget &budget, Instant now);
    /**
     * Fraction of the limit that this grantor may grant; the rest of the fleet may have a grantor
     * of its own.
     */
    void setLimitFraction(double limitFraction, Instant now);
    /** Takes the demanded units if the bucket holds them and the part that must be left. */
    bool tryTake(const UnitDemand &demand, Instant now);
    /** Takes up to `units`, but not from the lower half of the bucket. */
    double takePrefetch(double units, Instant now);
    /** Adds units that another grantor had left. */
    void add(double units, Instant now);
    /** Takes all units in the bucket. */
    double takeAll(Instant now);
    /** Time until tryTake() succeeds if no units are taken in the meantime. */
    Duration timeUntilAvailable(const UnitDemand &demand, Instant now);

    double level() const { return m_level; }
    double size() const { return m_budget.bucket * scale(); }
    double perSecond() const { return m_budget.perSecond * scale(); }

private:
    double scale() const { return m_budget.needsWholeFleet ? 1 : m_limitFraction; }
    bool mayGrant() const { return !m_budget.needsWholeFleet || m_limitFraction >= 1; }
    double needed(const UnitDemand &demand) const;

    UnitBudget m_budget;
    double m_level = 0;
    double m_limitFraction = 1;
    Instant m_lastRefill {};
};

} // namespace Apricothook
