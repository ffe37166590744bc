#pragma once

#include <apricothook/dispatch/apricothook_retry_budget_share.hpp>
#include <apricothook/fleetview/apricothook_fleet_size.hpp>
#include <apricothook/serving/apricothook_fleet_exchange.hpp>

#include <apricothook_emulated_fleet.hpp>

#include <deque>

namespace Apricothook {

class EmulatedRetryFleet;

/** The parts of one daemon's process that decide about repeated sends, as they are assembled. */
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
    FleetSize m_size;
    RetryBudgetShare m_allowance;
    Instant m_ticked {};
};

/**
 * Daemons before one service whose targets fail every request, so that each is sent again as often
 * as the allowance has it. It counts what the targets would.
 */
class EmulatedRetryFleet : public EmulatedFleet
{
public:
    static constexpr double Ratio = 0.2;
    static constexpr Time Window {10000};
    static constexpr unsigned MostRepeats = 2;

    EmulatedRetryFleet(std::size_t daemons, std::uint64_t seed);

    FleetBounds bounds() const;
    /** The largest part of the retry budget that was used in any window. */
    double worstRatio() const { return m_worst; }
    /** Of all requests. */
    double repeatedPart() const;

private:
    friend class EmulatedRetryDaemon;

    std::unique_ptr<EmulatedDaemon> start(std::uint16_t number, EventLoop &loop) override;
    void requested();
    void repeated();
    std::size_t requestsUntil(Time end) const;

    std::deque<Time> m_requests;
    std::deque<Time> m_repeats;
    std::size_t m_allRequests = 0;
    std::size_t m_allRepeats = 0;
    double m_worst = 0;
};

} // namespace Apricothook
