#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>

#include <deque>
#include <optional>

namespace Apricothook {

/** Whether a request may be sent again, and what decided it. */
struct RetryVerdict
{
    bool isGranted = false;
    /** The service's requests at this daemon within the window. */
    std::size_t requests = 0;
    /** Repeats within the window, without this one. */
    std::size_t repeats = 0;
    /** Repeats that the window may hold. */
    double allowed = 0;
    /** Among so many daemons the slack is divided; zero while that is unknown. */
    std::size_t daemons = 0;

    auto operator<=>(const RetryVerdict &) const = default;
};

/**
 * One daemon's part of the fleet's allowance for repeated sends to one service.
 *
 * Repeats of all daemons add up at a service that is failing already, and prolong the failure. Each
 * daemon keeps to the ratio of its own requests and to an equal part of the slack, so the sum keeps
 * to the fleet's bound without a message, whoever is cut off. A daemon that doesn't know how many
 * they are has no part of the slack.
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
    /** Takes one repeat if the allowance has it. `daemons` of the fleet, if that is known. */
    RetryVerdict tryTake(Instant now, std::optional<std::size_t> daemons);

private:
    void forgetBefore(Instant start);

    FleetBounds m_bounds;
    std::deque<Instant> m_requests;
    std::deque<Instant> m_repeats;
};

} // namespace Apricothook
