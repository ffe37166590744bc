#pragma once

#include <apricothook/fleetview/apricothook_peer_datagram.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <map>
#include <vector>

namespace Apricothook {

/** What a beacon or a report changed. */
struct BeaconEffect
{
    /** It is newer than all that is known of its sender. */
    bool isNews = false;
    /** The sender's process is another one than before, or it is new. */
    bool isNewProcess = false;
    /** The sender was silent or unknown. */
    bool isBack = false;
    /** What the sender admitted of each customer since its last word. */
    std::vector<ReportedUse> admitted;
};

/** Another daemon of the cell as it tells itself. */
struct CellMate
{
    MemberBrief brief;
    CellReport report;
    Instant heard {};
    bool isHeard = false;
};

/**
 * The other daemons of the own cell, from their beacons and load reports. What a silent one had at
 * the targets is forgotten after SilenceLimit.
 */
class BeaconTable
{
public:
    /** Five beacons of an idle daemon: loss of one in three hardly ever makes such a gap. */
    static constexpr std::chrono::milliseconds SilenceLimit {1000};
    /**
     * A process that was started while its clock was set back has a smaller incarnation than the
     * one before it. Beacons of the old process can't be on their way for so long.
     */
    static constexpr std::chrono::milliseconds OldBeaconTime {500};
    /** What a silent member admitted until then is remembered, to tell its next word's news. */
    static constexpr std::chrono::seconds MemoryLimit {60};

    /**
     * Processes that start within so long of each other were started together. Their incarnations
     * are times of day; VMs that are started at once take some tenths of a second, and their clocks
     * differ by less.
     */
    static constexpr std::chrono::milliseconds StartedTogether {1000};

    BeaconTable(MemberId self, Incarnation process)
        : m_self(std::move(self)), m_process(process) { }

    BeaconEffect take(const Beacon &beacon, Instant now);
    /** A report counts only for the process whose beacon is known. */
    BeaconEffect take(const CellReport &report, Instant now);
    /** Members that have just become silent. */
    std::vector<MemberId> noteSilent(Instant now);
    /** Null when no beacon of it is known. */
    const CellMate *find(const MemberId &member) const;
    /** Null when no beacon of it is known. */
    const CellMate *find(std::uint64_t memberNumber) const;
    std::vector<const CellMate *> heard() const;

private:
    /** The process started with this one or after it. */
    bool startedWithThisOne(Incarnation process) const;

    const MemberId m_self;
    const Incarnation m_process;
    /** By memberNumber(). */
    std::map<std::uint64_t, CellMate> m_mates;
};

} // namespace Apricothook
