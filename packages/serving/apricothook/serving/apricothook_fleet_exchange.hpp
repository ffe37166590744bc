#pragma once

#include <apricothook/dispatch/apricothook_customer_allowance.hpp>
#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/fleetview/apricothook_fleet_directory.hpp>
#include <apricothook/fleetview/apricothook_other_cells_use.hpp>
#include <apricothook/serving/apricothook_peer_sender.hpp>

#include <functional>
#include <map>
#include <vector>

namespace Apricothook {

/**
 * Keeps the directory of the whole fleet up to date, and what other cells admit of customers.
 *
 * Greetings spread the members' names; a new daemon greets its seeds, and all greet somebody each
 * second, so that groups that lost each other come together again. Summaries tell each cell of
 * every other one.
 */
class FleetExchange
{
public:
    /** Between greetings of a daemon that has just started. */
    static constexpr std::chrono::milliseconds StartingPause {250};
    /** Long enough for a hundred to hear of each other, sixteen names at a time. */
    static constexpr std::chrono::seconds StartingTime {4};
    static constexpr std::chrono::seconds GreetingPause {1};
    /** Members in a greeting and customers in a summary: each fits into one Ethernet frame. */
    static constexpr std::size_t MostOthers = 16;
    static constexpr std::size_t MostRates = 40;

    FleetExchange(EventLoop &loop, FleetDirectory &directory, PeerSender &sender,
                  CustomerAllowance &customers, RandomSource &random, std::vector<Endpoint> seeds);
    ~FleetExchange();
    FleetExchange(const FleetExchange &) = delete;
    FleetExchange &operator=(const FleetExchange &) = delete;

    /** `ownRates`: what the own cell admits. */
    void start(std::function<std::vector<CustomerRate>(std::size_t most)> ownRates);
    /** Counts what other cells have admitted since the last call; `own`: the own cell. */
    void countUseOfOtherCells(const std::vector<RecentUse> &own);
    /** Tells all members at once what this daemon now is; for what can't wait for summaries. */
    void announce();
    /** To one member of each other cell, and no more often than its pause allows. */
    void sendSummaries();
    void take(const Greeting &greeting);
    void take(const CellSummary &summary);

private:
    void greet();
    std::vector<Endpoint> greeted();
    Greeting ownGreeting(bool wantsAnswer);
    CellSummary ownSummary();
    /** The member of the cell whose turn it is; null when none may be alive. */
    const KnownMember *nextOf(std::uint32_t cell) const;

    EventLoop &m_loop;
    FleetDirectory &m_directory;
    PeerSender &m_sender;
    CustomerAllowance &m_customers;
    RandomSource &m_random;
    const std::vector<Endpoint> m_seeds;
    std::function<std::vector<CustomerRate>(std::size_t most)> m_ownRates;
    Instant m_started {};
    Instant m_summarySent {};
    Instant m_useCounted {};
    /** Turns at the members of other cells; starts anywhere, so that not all go to the same. */
    std::uint64_t m_round;
    OtherCellsUse m_otherCells;
    TimerId m_greeting = 0;
};

} // namespace Apricothook
