#pragma once

#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/fleetview/apricothook_fleet_directory.hpp>
#include <apricothook/serving/apricothook_peer_sender.hpp>

#include <vector>

namespace Apricothook {

/**
 * Keeps the directory of the whole fleet up to date.
 *
 * Greetings spread the members' names; a new daemon greets its seeds, and all greet somebody each
 * second, so that groups that lost each other come together again. Summaries tell each cell of
 * every other one.
 */
class FleetExchange
{
public:
    /**
     * Between greetings of a daemon that has just started. Each exchanges all names with one other
     * daemon, so what is known doubles with each: after all were killed 300 daemons know each
     * other within a second. At sixteen names each quarter of one some were unknown after thirty.
     */
    static constexpr std::chrono::milliseconds StartingPause {100};
    /** Ten exchanges and the time that VMs differ by when they start together. */
    static constexpr std::chrono::seconds StartingTime {2};
    static constexpr std::chrono::seconds GreetingPause {1};
    /** Members in a greeting, which fits into one Ethernet frame. */
    static constexpr std::size_t MostOthers = 16;

    FleetExchange(EventLoop &loop, FleetDirectory &directory, PeerSender &sender,
                  RandomSource &random, std::vector<Endpoint> seeds);
    ~FleetExchange();
    FleetExchange(const FleetExchange &) = delete;
    FleetExchange &operator=(const FleetExchange &) = delete;

    void start();
    /** Tells all members at once what this daemon now is; for what can't wait for summaries. */
    void announce();
    /** To one member of each other cell, and no more often than its pause allows. */
    void sendSummaries();
    void take(const MemberGossip &greeting);
    void take(const CellSummary &summary);

private:
    void greet();
    std::vector<Endpoint> greeted();
    bool isStarting() const { return m_loop.now() - m_started < StartingTime; }
    /** With all known names where there is room for them in several greetings. */
    void sendGreetings(const std::vector<Endpoint> &to, bool wantsAnswer, bool all);
    CellSummary ownSummary();
    /** The member of the cell whose turn it is; null when none may be alive. */
    const KnownMember *nextOf(std::uint32_t cell) const;

    EventLoop &m_loop;
    FleetDirectory &m_directory;
    PeerSender &m_sender;
    RandomSource &m_random;
    const std::vector<Endpoint> m_seeds;
    Instant m_started {};
    Instant m_summarySent {};
    /** Turns at the members of other cells; starts anywhere, so that not all go to the same. */
    std::uint64_t m_round;
    TimerId m_greeting = 0;
};

} // namespace Apricothook
