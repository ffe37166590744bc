#pragma once

#include <apricothook/fleetview/apricothook_peer_datagram.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <map>
#include <vector>

namespace Apricothook {

/** Effect of a received heartbeat or load report. */
struct HeartbeatChange
{
    /** It is newer than everything known about its sender. */
    bool isNewer = false;
    /** The sender was unknown or has restarted. */
    bool isNewProcess = false;
    /** The sender was silent or unknown before. */
    bool hasReturned = false;
};

/** Another daemon of the cell, with its last heartbeat and load report. */
struct CellPeer
{
    MemberInfo info;
    CellLoadReport report;
    Instant lastHeard {};
    bool isLive = false;
};

/**
 * Tracks the other daemons of the own cell by their heartbeats and load reports. The load that a
 * daemon had reported is discarded once it has been silent for SilenceLimit.
 */
class HeartbeatTable
{
public:
    /**
     * Five heartbeat intervals of an idle daemon. With a packet loss of one in three, a gap of this
     * length is very unlikely.
     */
    static constexpr std::chrono::milliseconds SilenceLimit {1000};
    /**
     * Upper limit of a heartbeat's delay in the network. After a longer silence, a different
     * incarnation is accepted even if it is smaller: a process that starts while its clock is set
     * back gets a smaller incarnation than its predecessor.
     */
    static constexpr std::chrono::milliseconds MaximumHeartbeatDelay {500};
    /**
     * Time for which a silent member's process is remembered, to compare its next heartbeat with.
     */
    static constexpr std::chrono::seconds RetentionTime {60};

    explicit HeartbeatTable(MemberId self) : m_self(std::move(self)) { }

    HeartbeatChange apply(const Heartbeat &heartbeat, Instant now);
    /** Load reports of a process are ignored until one of its heartbeats has been received. */
    HeartbeatChange apply(const CellLoadReport &report, Instant now);
    /** Marks members as silent and returns those that weren't before. */
    std::vector<MemberId> markSilent(Instant now);
    /** Returns null if no heartbeat of the member is known. */
    const CellPeer *find(const MemberId &member) const;
    /** Returns null if no heartbeat of the member is known. */
    const CellPeer *find(std::uint64_t hash) const;
    std::vector<const CellPeer *> livePeers() const;

private:
    const MemberId m_self;
    /** Key: memberHash(). */
    std::map<std::uint64_t, CellPeer> m_peers;
};

} // namespace Apricothook
