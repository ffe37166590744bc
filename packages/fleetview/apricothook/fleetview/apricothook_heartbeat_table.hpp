#pragma once

#include <apricothook/fleetview/apricothook_peer_datagram.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <map>
#include <vector>

namespace Apricothook {

/** What a beacon or a report changed. */
struct HeartbeatChange
{
    /** It is newer than all that is known of its sender. */
    bool isNewer = false;
    /** The sender's process is another one than before, or it is new. */
    bool isNewProcess = false;
    /** The sender was silent or unknown. */
    bool hasReturned = false;
};

/** Another daemon of the cell as it tells itself. */
struct CellPeer
{
    MemberInfo info;
    CellLoadReport report;
    Instant heard {};
    bool isLive = false;
};

/**
 * The other daemons of the own cell, from their beacons and load reports. What a silent one had at
 * the targets is forgotten after SilenceLimit.
 */
class HeartbeatTable
{
public:
    /** Five beacons of an idle daemon: loss of one in three hardly ever makes such a gap. */
    static constexpr std::chrono::milliseconds SilenceLimit {1000};
    /**
     * A process that was started while its clock was set back has a smaller incarnation than the
     * one before it. Beacons of the old process can't be on their way for so long.
     */
    static constexpr std::chrono::milliseconds OldBeaconTime {500};
    /** A silent member's process is remembered for so long, to tell its next word's news. */
    static constexpr std::chrono::seconds MemoryLimit {60};

    explicit HeartbeatTable(MemberId self) : m_self(std::move(self)) { }

    HeartbeatChange apply(const Heartbeat &beacon, Instant now);
    /** A report counts only for the process whose beacon is known. */
    HeartbeatChange apply(const CellLoadReport &report, Instant now);
    /** Members that have just become silent. */
    std::vector<MemberId> markSilent(Instant now);
    /** Null when no beacon of it is known. */
    const CellPeer *find(const MemberId &member) const;
    /** Null when no beacon of it is known. */
    const CellPeer *find(std::uint64_t memberNumber) const;
    std::vector<const CellPeer *> heard() const;

private:
    const MemberId m_self;
    /** By memberHash(). */
    std::map<std::uint64_t, CellPeer> m_mates;
};

} // namespace Apricothook
