#pragma once

#include <apricothook/dispatch/apricothook_customer_budget.hpp>
#include <apricothook/model/apricothook_time.hpp>

namespace Apricothook {

/**
 * The units of a customer that its grantor may still give out. Empty at first: what the bucket held
 * elsewhere before isn't known, so nothing is given out that may have been given out already.
 */
class UnitBucket
{
public:
    UnitBucket() = default;
    UnitBucket(const CustomerBudget &budget, Instant now) : m_budget(budget), m_refilled(now) { }

    /**
     * Time without a call for longer makes no units: the daemon stood still, and another may have
     * granted in its place. Callers of it refill it more often.
     */
    static constexpr std::chrono::milliseconds LongestRefill {500};

    void refill(Instant now);
    /** Time that has passed counts at the rate that was in force. */
    void setBudget(const CustomerBudget &budget, Instant now);
    /** Part of the fleet that the grantor reaches; the rest may have a grantor of its own. */
    void setPart(double part, Instant now);
    /** Takes the claim's units, if the bucket has them and what is to be left. */
    bool tryTake(const UnitDemand &claim, Instant now);
    /** Takes up to `units`, but not from the lower half. */
    double takeAhead(double units, Instant now);
    /** Units that another grantor had left. */
    void add(double units, Instant now);
    /** Takes all that is there. */
    double takeAll(Instant now);
    /** How long tryTake() would fail if nobody took anything meanwhile. */
    Duration timeUntil(const UnitDemand &claim, Instant now);

    double level() const { return m_level; }
    double size() const { return m_budget.bucket * m_part; }
    double perSecond() const { return m_budget.perSecond * m_part; }

private:
    double needed(const UnitDemand &claim) const;

    CustomerBudget m_budget;
    double m_level = 0;
    double m_part = 1;
    Instant m_refilled {};
};

} // namespace Apricothook
