#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>

#include <deque>
#include <optional>

namespace Apricothook {

/** Whether a request may be sent again, and what decided it. */
struct RetryDecision
{
    bool isGranted = false;
    /** The service's requests at this daemon within the window. */
    std::size_t requests = 0;
    /** Repeats within the window, without this one. */
    std::size_t retries = 0;
    /** Repeats that the window may hold. */
    double allowed = 0;
    /** Among so many daemons the slack is divided; zero while that is unknown. */
    std::size_t daemons = 0;

    auto operator<=>(const RetryDecision &) const = default;
};

/**
 * One daemon's part of the fleet's allowance for repeated sends to one service.
 *
 * Repeats of all daemons add up at a service that is failing already, and prolong the failure. Each
 * daemon keeps to the ratio of its own requests and to an equal part of the slack, so the sum keeps
 * to the fleet's bound without a message, whoever is cut off. A daemon that doesn't know how many
 * they are has no part of the slack.
 *
 * A process doesn't know what its predecessor sent again. So its part of the slack grows from
 * nothing over one window: all successors of a process that was killed have one part together.
 */
class RetryBudgetShare
{
public:
    /**
     * Part of the budget that is used. Within one window a process may use its part and be killed,
     * and its successors use it again; and the requests that repeats are counted against may lie in
     * two windows, of which the budget counts the fuller one.
     */
    static constexpr double UsedPart = 0.5;

    /** `started`: when this process began, or later. */
    RetryBudgetShare(const FleetBounds &bounds, Instant started)
        : m_bounds(bounds), m_started(started)
    {
    }

    void countRequest(Instant now) { m_requests.push_back(now); }
    /** Takes one repeat if the allowance has it. `daemons` of the fleet, if that is known. */
    RetryDecision tryTake(Instant now, std::optional<std::size_t> daemons);

private:
    void forgetBefore(Instant start);
    double slackPart(std::optional<std::size_t> daemons, Instant now) const;

    FleetBounds m_bounds;
    Instant m_started {};
    std::deque<Instant> m_requests;
    std::deque<Instant> m_repeats;
};

} // namespace Apricothook
