#pragma once

#include <apricothook/dispatch/apricothook_slot_partition.hpp>
#include <apricothook/fleetview/apricothook_member_info.hpp>
#include <apricothook/fleetview/apricothook_source_outage.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <map>
#include <optional>
#include <vector>

namespace Apricothook {

/** A daemon as this one knows it, from itself or from others. */
struct KnownMember
{
    MemberInfo info;
    /** When it was last heard, by whoever told of it. */
    Instant heard {};
    std::uint32_t cell = 0;
};

/**
 * All daemons of the fleet that this one knows, and the cells that they form.
 *
 * Daemons of a cell tell each other their load and share a part of the targets, so what a daemon
 * sends and computes doesn't grow with the fleet. A cell is a range of hashes of member names:
 * daemons that know about the same members agree on it without a message, and a member that comes
 * or goes moves no other one. While they differ about the number of cells, which is a power of two,
 * one's cell contains the other's.
 */
class FleetDirectory
{
public:
    /**
     * A fleet of no more daemons is one cell. Larger ones make cells of eight to sixteen: few
     * enough for some reports a second to each other, and enough to share some targets of unlike
     * speed. With twelve, 195 daemons were cells of six with three targets each, and one waited
     * where another had idle slots: with sixteen the part of the payoff that is served rose from
     * 0.590 to 0.614 at high load and from 0.937 to 0.944 on a quiet day, for 0.1 GB more between
     * data centres in 48 s.
     */
    static constexpr std::size_t LargestCell = 16;
    /**
     * Part of LargestCell that the cells of half the number would have to stay below. What is known
     * varies by a few members at any time: a fleet of 195 daemons, three above what sixteen cells
     * held, changed to and fro, and daemons with sixteen cells missed up to a third of the others
     * for a second, as they waited for half as long for summaries that come half as often.
     */
    static constexpr double JoiningPart = 0.8;
    /** A silent member of the own cell leaves lookups; five beacons of an idle daemon. */
    static constexpr std::chrono::milliseconds OwnCellLimit {1000};
    /** A silent member that may still admit requests elsewhere; then it counts as gone. */
    static constexpr std::chrono::seconds KnownLimit {12};
    /**
     * Callers aren't named a daemon that was last heard longer ago. In a fleet of many cells it
     * counts as live for longer, as summaries of its cell come seldom, and callers would be sent
     * to one that died ten seconds ago.
     */
    static constexpr std::chrono::seconds LongestNamed {5};
    /** Addresses of silent members are tried for so long. */
    static constexpr std::chrono::seconds AddressLimit {60};
    /** Three exchanges of all names with others without any news. */
    static constexpr std::chrono::milliseconds QuietTime {300};
    /** In a fleet where some daemon starts all the time nobody would know it otherwise. */
    static constexpr std::chrono::seconds LongestLearning {4};
    /** Seeds that aren't heard for so long are gone, and what is known is the fleet. */
    static constexpr std::chrono::seconds LoneTime {20};
    /** Between summaries to each other cell, for each cell of the fleet, and at least. */
    static constexpr std::chrono::milliseconds SummaryPauseForEachCell {100};
    static constexpr std::chrono::milliseconds ShortestSummaryPause {500};

    /**
     * Daemons of each cell that read the published items at their source; the others ask them. One
     * may die or be cut off and nobody notice for OwnCellLimit.
     */
    static constexpr std::size_t ReadersOfCell = 2;

    /**
     * Daemons that read at the source for all cells. With two for each cell 195 daemons made 64
     * watches, and a quarter of a second after each change as many calls; one of three may die and
     * another be turned away while the last still tells all of it.
     */
    static constexpr std::size_t ReadersOfFleet = 3;

    explicit FleetDirectory(MemberId self);

    /** News of a member; older ones than what is known are passed over. */
    void update(const MemberInfo &brief, Instant now);
    /** Forgets whom nobody has heard for long, and settles the number of cells. */
    void review(Instant now);
    /** Takes the number of cells of another daemon over, if it is larger and this one may have it.
     */
    void adoptCellCount(std::uint32_t cells, Instant now);

    const MemberId &self() const { return m_self; }
    std::uint32_t cells() const { return m_cells; }
    std::uint32_t ownCell() const { return cellOf(m_self); }
    std::uint32_t cellOf(const MemberId &member) const;
    std::chrono::milliseconds summaryPause() const;
    /** After so long without word of it, a member of another cell, or its cell, is silent. */
    Duration otherCellLimit() const;
    /** Without this daemon. */
    const std::map<MemberId, KnownMember> &members() const { return m_members; }
    std::vector<const KnownMember *> membersOfCell(std::uint32_t cell) const;
    bool isLive(const KnownMember &member, Instant now) const;
    /** Live, and heard within LongestNamed: callers may be sent to it. */
    bool isRoutable(const KnownMember &member, Instant now) const;
    /** Members that may be alive; this daemon among them. */
    std::size_t liveCount(Instant now) const;
    std::size_t knownCount(Instant now) const;
    /**
     * This daemon has heard of the others: of most of the `seeds`, and of nobody new for a while or
     * it has run for long. Daemons that all start while they are cut in two would otherwise take
     * each side for the whole fleet; only one of them hears most seeds.
     */
    bool hasDiscoveredFleet(const std::vector<Endpoint> &seeds, const Endpoint &own,
                            Instant now) const;
    /**
     * Most of the `seeds`, this daemon with them, are live. Of two parts of a fleet that don't hear
     * each other, one at most hears them.
     */
    bool reachesSeedMajority(const std::vector<Endpoint> &seeds, const Endpoint &own,
                             Instant now) const;
    CellWeights weights(Instant now) const;
    /** `self` is one of those who read at the source. All are while too few are known to reach it.
     */
    bool isReader(const MemberInfo &self, Instant now) const;
    /** `self` is one of those who read for all cells; none is in a fleet of one cell. */
    bool isFleetReader(const MemberInfo &self, Instant now) const;
    /** Whom the readers of the fleet tell what they have read. */
    std::vector<Endpoint> readersOfOtherCells(Instant now) const;
    /** What `self` and the live members of its cell tell of the source. */
    SourceReachability sourceReachability(const MemberInfo &self, Instant now) const;
    /** Some members, as they are to be told to others. */
    std::vector<MemberInfo> sample(std::size_t most, RandomSource &random, Instant now) const;
    /** The member as it is to be told to others. */
    static MemberInfo advertisedInfo(const KnownMember &member, Instant now);

private:
    /** Three summaries may be lost or go to others before a member of another cell seems gone. */
    static constexpr int MissedSummaries = 3;

    Duration liveLimit(const KnownMember &member) const;
    /** Ready, staying and live; may read for others. */
    bool mayServe(const KnownMember &member, Instant now) const;
    /** So many daemons may be in so many cells; the number may also be one that fits better. */
    static bool mayHave(std::uint32_t cells, std::size_t daemons);
    void setCells(std::uint32_t cells);
    std::vector<const KnownMember *> liveOfOwnCell(Instant now) const;
    bool isKnown(const KnownMember &member, Instant now) const;

    const MemberId m_self;
    std::uint32_t m_cells = 1;
    std::map<MemberId, KnownMember> m_members;
    /** The first review. */
    std::optional<Instant> m_started;
    /** When a member or a process of it was first heard of. */
    std::optional<Instant> m_news;
};

} // namespace Apricothook
