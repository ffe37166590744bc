#pragma once

#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/fleetview/apricothook_fleet_directory.hpp>
#include <apricothook/serving/apricothook_peer_sender.hpp>

#include <vector>

namespace Apricothook {

/**
 * Keeps the directory of the whole fleet up to date.
 *
 * Members are discovered by gossip. A new daemon sends gossip to its seeds, and each daemon sends
 * it to a random member or seed once a second, which rejoins the parts of a fleet after a
 * partition. Summaries carry the members of each cell to every other cell.
 */
class FleetExchange
{
public:
    /**
     * Gossip interval after the start of a daemon. Each gossip exchanges all known members with
     * another daemon, so the number of known members doubles: 300 daemons that restart together
     * know each other within a second. With sixteen members per message every 250 ms, some were
     * still unknown after thirty seconds.
     */
    static constexpr std::chrono::milliseconds StartupGossipInterval {100};
    /** Time for ten exchanges, plus the differences between VMs that start together. */
    static constexpr std::chrono::seconds StartupTime {2};
    static constexpr std::chrono::seconds GossipInterval {1};
    /** Limit of members per gossip message, which keeps it within one Ethernet frame. */
    static constexpr std::size_t MaximumGossipMembers = 16;

    FleetExchange(EventLoop &loop, FleetDirectory &directory, PeerSender &sender,
                  RandomSource &random, std::vector<Endpoint> seeds);
    ~FleetExchange();
    FleetExchange(const FleetExchange &) = delete;
    FleetExchange &operator=(const FleetExchange &) = delete;

    void start();
    /** Sends this daemon's present state to all members, without waiting for the next summary. */
    void announce();
    /** Sends a summary to one member of each other cell, at most once per summary interval. */
    void sendSummaries();
    void take(const MemberGossip &gossip);
    void take(const CellSummary &summary);

private:
    void gossip();
    std::vector<Endpoint> gossipReceivers();
    bool isStarting() const { return m_loop.now() - m_started < StartupTime; }
    /** If `all`, sends all known members, split over several messages; else one with a sample. */
    void sendGossip(const std::vector<Endpoint> &to, bool wantsReply, bool all);
    CellSummary ownSummary();
    /** Next receiver in the cell by round robin; null if no member of it may be alive. */
    const KnownMember *nextReceiver(std::uint32_t cell) const;

    EventLoop &m_loop;
    FleetDirectory &m_directory;
    PeerSender &m_sender;
    RandomSource &m_random;
    const std::vector<Endpoint> m_seeds;
    Instant m_started {};
    Instant m_lastSummary {};
    /** Round-robin index for receivers; starts at random to spread the load of many senders. */
    std::uint64_t m_roundRobinIndex;
    TimerId m_gossipTimer = 0;
};

} // namespace Apricothook
