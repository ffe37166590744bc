#pragma once

#include <apricothook/dispatch/apricothook_retry_budget_share.hpp>
#include <apricothook/fleetview/apricothook_fleet_size.hpp>
#include <apricothook/serving/apricothook_fleet_exchange.hpp>

#include <apricothook_emulated_fleet.hpp>

#include <deque>

namespace Apricothook {

class EmulatedRetryFleet;

/** The components of a daemon that decide about retries, wired as in the process. */
class EmulatedRetryDaemon : public EmulatedDaemon
{
public:
    EmulatedRetryDaemon(EmulatedRetryFleet &fleet, std::uint16_t number, EventLoop &loop,
                        std::uint64_t startedAt);

    void step(unsigned requests) override;
    void take(const PeerDatagram &datagram) override;

private:
    void tick();

    EmulatedRetryFleet &m_fleet;
    EventLoop &m_loop;
    FleetDirectory m_directory;
    FleetExchange m_exchange;
    FleetSize m_fleetSize;
    RetryBudgetShare m_budget;
    Instant m_lastTick {};
};

/**
 * A fleet of daemons and one service whose targets fail every request, so that each request is
 * retried as often as the budget allows. Counts requests and retries as the targets would.
 */
class EmulatedRetryFleet : public EmulatedFleet
{
public:
    static constexpr double Ratio = 0.2;
    static constexpr Time Window {10000};
    static constexpr unsigned MaximumRetries = 2;

    EmulatedRetryFleet(std::size_t daemons, std::uint64_t seed);

    FleetBounds bounds() const;
    /** Largest fraction of the retry budget that was used in any window. */
    double worstRatio() const { return m_worst; }
    /** Retries per request. */
    double retriesPerRequest() const;

private:
    friend class EmulatedRetryDaemon;

    std::unique_ptr<EmulatedDaemon> start(std::uint16_t number, EventLoop &loop) override;
    void recordRequest();
    void recordRetry();
    std::size_t requestsInWindow(Time end) const;

    std::deque<Time> m_requests;
    std::deque<Time> m_retries;
    std::size_t m_totalRequests = 0;
    std::size_t m_totalRetries = 0;
    double m_worst = 0;
};

} // namespace Apricothook
