#pragma once

#include <apricothook/dispatch/apricothook_customer_budget.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <deque>

namespace Apricothook {

/**
 * The units of one customer that a daemon may use: those that were granted to it, and its part of
 * the credit for the time in which no grantor answers.
 */
class UnitStock
{
public:
    /** Units that a grantor took from the bucket; void at `until`. */
    void add(double units, Instant until);
    /** Takes from what was granted. */
    bool tryTake(double units, Instant now);
    /** Takes from the credit, of which this daemon has one part in `daemons`. */
    bool tryTakeCredit(double units, const CustomerBudget &budget, std::size_t daemons,
                       Instant now);
    double granted(Instant now);

    /** Notes what was admitted, for expected(). */
    void noteAdmitted(double units, Instant now);
    /** What the next `time` is expected to ask, from what was lately admitted. */
    double expected(Duration time, Instant now);

private:
    struct Grant
    {
        double units = 0;
        Instant until {};
    };

    std::deque<Grant> m_grants;
    /** Units of the credit that were used and have not come back. */
    double m_creditUsed = 0;
    Instant m_creditChanged {};
    /** Units a second, decaying over RateTime. */
    double m_rate = 0;
    Instant m_rateChanged {};
};

} // namespace Apricothook
