#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <vector>

namespace Apricothook {

/** When the caller of a refused request is to retry. */
struct ScheduledReturn
{
    /** Time until the bucket has units for the request and for all retries that precede it. */
    Duration wait {};
    /** Units of the retries that precede it. */
    double promisedUnits = 0;

    auto operator<=>(const ScheduledReturn &) const = default;
};

/**
 * Spreads the retries of a customer's refused callers over the time in which the customer's bucket
 * gains units for them. Kept by the grantor of the limit.
 *
 * Load pattern: for some seconds a customer sends several times its limit. The time until the
 * bucket has units for one request is the same few milliseconds for all refused callers. On a
 * benchmark day 13,500 of 18,000 refusals were of one such customer; its callers were told to retry
 * after 1 to 140 ms, and nearly all were refused again.
 *
 * The schedule decides only what callers are told. Units are granted in order of arrival, so new
 * requests may take units that a retry was told to expect.
 */
class ReturnSchedule
{
public:
    /** Callers over their limit are told to retry no earlier. */
    static constexpr std::chrono::milliseconds ShortestReturn {100};

    /**
     * Returns the time of the retry of a refused request and counts its units as promised.
     *
     * `untilAvailable` is the time until the bucket has the request's units if no others are taken,
     * and `perSecond` the bucket's rate. Units beyond what the rate provides in
     * Dispatcher::LongestRetryAfter aren't counted: no caller is told to retry later than that.
     */
    ScheduledReturn schedule(double units, Duration untilAvailable, double perSecond, Instant now);
    /** Units of refused requests whose retries are still expected. */
    double promisedUnits(Instant now);

private:
    /**
     * Retries are expected until the end of the slice in which they are due: a caller needs some
     * milliseconds to send its request again. Slices instead of single retries bound the memory for
     * each limit to 416 bytes.
     */
    static constexpr std::chrono::milliseconds SliceLength {100};

    static std::int64_t sliceAt(Instant time) { return time.time_since_epoch() / SliceLength; }
    double &unitsOf(std::int64_t slice);
    void expire(Instant now);

    /** Units that are due in each slice, by the slice's number; empty until the first refusal. */
    std::vector<double> m_slices;
    /** Number of the earliest slice whose retries are still expected. */
    std::int64_t m_first = 0;
};

} // namespace Apricothook
