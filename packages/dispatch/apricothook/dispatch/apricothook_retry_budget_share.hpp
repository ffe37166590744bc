#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>

#include <deque>
#include <optional>

namespace Apricothook {

/** Whether a request may be retried, and what decided it. */
struct RetryDecision
{
    bool isGranted = false;
    /** Requests of the service at this daemon within the window. */
    std::size_t requests = 0;
    /** Retries within the window, without this one. */
    std::size_t retries = 0;
    /** Retries that the window may hold. */
    double allowed = 0;
    /** Number of daemons that share the slack; zero if unknown. */
    std::size_t daemons = 0;

    auto operator<=>(const RetryDecision &) const = default;
};

/**
 * One daemon's share of the fleet's retry budget for a service.
 *
 * Retries of all daemons add up at a service that is already failing and prolong the failure. Each
 * daemon keeps to the ratio of its own requests plus an equal share of the slack, so the sum stays
 * within the fleet's limit without a message, even if daemons are cut off. A daemon that doesn't
 * know the number of daemons gets no share of the slack.
 *
 * A process doesn't know the retries of its predecessor. Its share of the slack therefore grows
 * from zero over one window, so that all successors of a killed process together have one share.
 */
class RetryBudgetShare
{
public:
    /**
     * Fraction of the budget that is used. Within one window a process may use its share and be
     * killed, and its successors use it again. Also, the requests that retries are counted against
     * may lie in two windows, of which the budget counts the fuller one.
     */
    static constexpr double UsedFraction = 0.5;

    /** `started`: start time of this process, or later. */
    RetryBudgetShare(const FleetBounds &bounds, Instant started)
        : m_bounds(bounds), m_started(started)
    {
    }

    void countRequest(Instant now) { m_requests.push_back(now); }
    /** What tryTake() would return, without taking a retry. */
    RetryDecision check(Instant now, std::optional<std::size_t> daemons);
    /** Takes one retry if the budget allows it. `daemons`: size of the fleet, if known. */
    RetryDecision tryTake(Instant now, std::optional<std::size_t> daemons);

private:
    void dropBefore(Instant start);
    double slackShare(std::optional<std::size_t> daemons, Instant now) const;

    FleetBounds m_bounds;
    Instant m_started {};
    std::deque<Instant> m_requests;
    std::deque<Instant> m_retries;
};

} // namespace Apricothook
