#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>

#include <deque>

namespace Apricothook {

/**
 * One daemon's part of the fleet's allowance for repeated sends to one service.
 *
 * Repeats of all daemons add up at a service that is failing already, and prolong the failure. Each
 * daemon keeps to the ratio of its own requests and to an equal part of the slack, so the sum keeps
 * to the fleet's bound without a message, whoever is cut off.
 */
class RetryAllowance
{
public:
    /**
     * Part of the whole allowance that is used: a daemon that restarts forgets its window, and its
     * clock's window isn't the observer's.
     */
    static constexpr double UsedPart = 0.6;

    explicit RetryAllowance(const FleetBounds &bounds) : m_bounds(bounds) { }

    void countRequest(Instant now) { m_requests.push_back(now); }
    /** Takes one repeat if the allowance has it. */
    bool tryTake(Instant now, std::size_t daemons);

private:
    void forgetBefore(Instant start);

    FleetBounds m_bounds;
    std::deque<Instant> m_requests;
    std::deque<Instant> m_repeats;
};

} // namespace Apricothook
