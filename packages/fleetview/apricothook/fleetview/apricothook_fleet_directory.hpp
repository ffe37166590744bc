#pragma once

#include <apricothook/dispatch/apricothook_slot_partition.hpp>
#include <apricothook/fleetview/apricothook_member_info.hpp>
#include <apricothook/fleetview/apricothook_source_outage.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <map>
#include <optional>
#include <vector>

namespace Apricothook {

/** A daemon that this one has heard of, from the daemon itself or from others. */
struct KnownMember
{
    MemberInfo info;
    /**
     * Time at which the member itself was last heard, by this daemon or by the one reporting it.
     */
    Instant heard {};
    std::uint32_t cell = 0;
};

/**
 * All daemons of the fleet that this one knows, and the cells that they form.
 *
 * The daemons of a cell exchange their load and share a part of the targets, so that the traffic
 * and work of a daemon don't grow with the fleet. A cell is a range of hashes of member names:
 * daemons that know about the same members agree on the cells without messages, and a member that
 * joins or leaves doesn't move others. While daemons disagree on the number of cells, which is a
 * power of two, the cell of one contains the cell of the other.
 */
class FleetDirectory
{
public:
    /**
     * A fleet of up to this size is one cell. Larger fleets are divided into cells of eight to
     * sixteen daemons: small enough for several reports per second among all members, and large
     * enough to share several targets of different speed. With a limit of twelve, 195 daemons
     * formed cells of six daemons with three targets each, and requests waited in one cell while
     * another had idle slots. With sixteen, the served share of the payoff rises from 0.590 to
     * 0.614 at high load and from 0.937 to 0.944 at low load, at the cost of 0.1 GB more traffic
     * between data centres in 48 s.
     */
    static constexpr std::size_t LargestCell = 16;
    /**
     * The number of cells is halved only if cells then hold at most this fraction of LargestCell.
     * The number of known members fluctuates by a few at any time. Without this hysteresis, a fleet
     * of 195 daemons, three more than sixteen cells could hold, alternated between two numbers of
     * cells. Daemons with sixteen cells then lost up to a third of the others for a second, because
     * they waited only half as long for summaries that were sent half as often.
     */
    static constexpr double HalvingThreshold = 0.8;
    /**
     * Silence after which a member of the own cell counts as dead and is left out of lookups. Five
     * heartbeat intervals of an idle daemon.
     */
    static constexpr std::chrono::milliseconds OwnCellSilenceLimit {1000};
    /**
     * Time for which a silent member still counts as known, as it may be cut off and still admit
     * requests.
     */
    static constexpr std::chrono::seconds KnownLimit {12};
    /**
     * Silence after which a daemon is left out of lookups even if it counts as live. With many
     * cells, summaries of other cells are rare and a daemon counts as live for longer; callers
     * would be sent to a daemon that died ten seconds ago.
     */
    static constexpr std::chrono::seconds LongestRoutableSilence {5};
    /** Time for which the addresses of silent members are kept and tried. */
    static constexpr std::chrono::seconds AddressRetention {60};
    /**
     * Time without new members after which discovery is complete: three full exchanges of names.
     */
    static constexpr std::chrono::milliseconds DiscoveryQuietTime {300};
    /** Upper limit of discovery, for fleets in which new daemons appear all the time. */
    static constexpr std::chrono::seconds LongestDiscovery {4};
    /**
     * If most seeds haven't been heard for this time after the start, the known members are taken
     * to be the whole fleet.
     */
    static constexpr std::chrono::seconds SeedTimeout {20};
    /**
     * Interval between summaries to each other cell, multiplied by the number of cells. It is at
     * least ShortestSummaryInterval.
     */
    static constexpr std::chrono::milliseconds SummaryIntervalPerCell {100};
    static constexpr std::chrono::milliseconds ShortestSummaryInterval {500};

    /**
     * Number of daemons in each cell that read the published items at their source; the others get
     * the items from them. Two, because the failure of one isn't noticed for OwnCellSilenceLimit.
     */
    static constexpr std::size_t ReadersPerCell = 2;

    /**
     * Number of daemons that read at the source on behalf of all cells. With two readers in each
     * cell, 195 daemons kept 64 watches open and made as many calls within a quarter of a second
     * after each change. With three readers, one may fail and the source may reject another while
     * the last one still distributes the changes.
     */
    static constexpr std::size_t FleetReaders = 3;

    explicit FleetDirectory(MemberId self);

    /** Stores information about a member unless newer information is known. */
    void update(const MemberInfo &info, Instant now);
    /** Removes members that have been silent for long and updates the number of cells. */
    void review(Instant now);
    /** Adopts the number of cells of another daemon if it is larger and suits the known members. */
    void adoptCellCount(std::uint32_t cells, Instant now);

    const MemberId &self() const { return m_self; }
    std::uint32_t cells() const { return m_cells; }
    std::uint32_t ownCell() const { return cellOf(m_self); }
    std::uint32_t cellOf(const MemberId &member) const;
    std::chrono::milliseconds summaryPause() const;
    /** Silence after which a member of another cell, or a whole other cell, counts as dead. */
    Duration otherCellLimit() const;
    /** All known members except this daemon. */
    const std::map<MemberId, KnownMember> &members() const { return m_members; }
    std::vector<const KnownMember *> membersOfCell(std::uint32_t cell) const;
    bool isLive(const KnownMember &member, Instant now) const;
    /** True if callers may be sent to the member: it is live and was heard within
     * LongestRoutableSilence. */
    bool isRoutable(const KnownMember &member, Instant now) const;
    /** Number of live members, including this daemon. */
    std::size_t liveCount(Instant now) const;
    /** Number of members that are live or may be cut off, including this daemon. */
    std::size_t knownCount(Instant now) const;
    /**
     * True if this daemon has discovered the fleet: it has heard of most of the `seeds`, and no new
     * members have appeared for a while or it has been running for long. Requiring most seeds
     * prevents daemons that start during a network partition from taking their side for the whole
     * fleet, because only one side hears most seeds.
     */
    bool hasDiscoveredFleet(const std::vector<Endpoint> &seeds, const Endpoint &own,
                            Instant now) const;
    /**
     * True if most of the `seeds` are live, where this daemon counts if it is a seed. This holds in
     * at most one of two partitions that can't hear each other.
     */
    bool reachesSeedMajority(const std::vector<Endpoint> &seeds, const Endpoint &own,
                             Instant now) const;
    CellWeights weights(Instant now) const;
    /**
     * True if `self` is among the readers of its cell. All daemons of a cell read while fewer than
     * ReadersPerCell of them can.
     */
    bool isReader(const MemberInfo &self, Instant now) const;
    /** True if `self` reads for all cells. A fleet of one cell has no such readers. */
    bool isFleetReader(const MemberInfo &self, Instant now) const;
    /** Addresses to which the readers of the fleet report what they have read. */
    std::vector<Endpoint> readersOfOtherCells(Instant now) const;
    /** Whether `self` and the live members of its cell reach the source. */
    SourceReachability sourceReachability(const MemberInfo &self, Instant now) const;
    /** Random sample of at most `most` members, with their ages brought up to date for sending. */
    std::vector<MemberInfo> sample(std::size_t most, RandomSource &random, Instant now) const;
    /** Information about the member with its age brought up to date for sending. */
    static MemberInfo advertisedInfo(const KnownMember &member, Instant now);

private:
    /**
     * Number of summaries that may be lost or sent to other daemons before a member of another cell
     * counts as dead.
     */
    static constexpr int ToleratedSummaryLosses = 3;

    Duration silenceLimit(const KnownMember &member) const;
    /** True if the member is live, ready and not leaving, so that it may read for others. */
    bool isServing(const KnownMember &member, Instant now) const;
    /**
     * True if this number of daemons may be divided into this number of cells. Because of the
     * hysteresis, more than one number of cells may be valid.
     */
    static bool isValidCellCount(std::uint32_t cells, std::size_t daemons);
    void setCells(std::uint32_t cells);
    std::vector<const KnownMember *> liveMembersOfOwnCell(Instant now) const;
    bool isKnown(const KnownMember &member, Instant now) const;

    const MemberId m_self;
    std::uint32_t m_cells = 1;
    std::map<MemberId, KnownMember> m_members;
    /** Time of the first review. */
    std::optional<Instant> m_started;
    /** Time at which a new member, or a new process of a member, was last heard of. */
    std::optional<Instant> m_lastDiscovery;
};

} // namespace Apricothook
