#pragma once

#include <apricothook/dispatch/apricothook_unit_budget.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <deque>

namespace Apricothook {

/**
 * The units of one customer that a daemon may use: those granted to it, and its share of the credit
 * for times when no grantor answers.
 */
class LocalUnits
{
public:
    /** Adds units that a grantor took from the bucket; they expire at `until`. */
    void add(double units, Instant until);
    /** Takes units that were granted. */
    bool tryTake(double units, Instant now);
    /** Takes units of the credit, of which this daemon has one share in `daemons`. */
    bool tryTakeCredit(double units, const UnitBudget &budget, std::size_t daemons, Instant now);
    double granted(Instant now);

    /** Records admitted units for expectedDemand(). */
    void recordAdmitted(double units, Instant now);
    /** Units that requests are expected to need within the next `time`, from recent admissions. */
    double expectedDemand(Duration time, Instant now);

private:
    struct Grant
    {
        double units = 0;
        Instant until {};
    };

    std::deque<Grant> m_grants;
    /** Units of the credit that were used and aren't refilled yet. */
    double m_usedCredit = 0;
    Instant m_creditUpdated {};
    /** Units per second, decaying over RateDecaySeconds. */
    double m_rate = 0;
    Instant m_rateUpdated {};
};

} // namespace Apricothook
