#pragma once

#include <apricothook/dispatch/apricothook_cold_target_limiter.hpp>
#include <apricothook/fleetview/apricothook_fleet_directory.hpp>

namespace Apricothook {

/** Paths on which published items currently reach this daemon. */
struct ItemReachability
{
    bool ownReachable = false;
    /** This daemon or any other daemon that it hears reads at the source. */
    bool anyReachable = false;

    auto operator<=>(const ItemReachability &) const = default;
};

/**
 * Determines how far this daemon may trust its view of the fleet when it sends to targets that may
 * be cold.
 *
 * After a network partition or a pause of its process, a daemon briefly acts on outdated state: in
 * the meantime an evacuation may have begun and ended, which leaves its targets cold. A daemon that
 * has just started may have read target entries from before the end of an evacuation, and the
 * listing doesn't show this. Such a daemon treats all targets as cold until it must have received
 * the updates that it missed.
 *
 * When a partition heals, members are discovered one after the other, and one daemon after the
 * other would consider itself the sender to the same target. Therefore no daemon does so while new
 * members are being discovered.
 */
class ColdViewTracker
{
public:
    /** Time within which missed items arrive, from peers or from the source. */
    static constexpr std::chrono::milliseconds CatchUpTime {2000};
    /** A longer time between two reviews means that this process was paused. */
    static constexpr std::chrono::milliseconds PauseThreshold {1000};
    /**
     * Time without new members after which this daemon may become a target's sender. As long as the
     * window of any bound.
     */
    static constexpr std::chrono::milliseconds MembershipSettlingTime {1000};
    /** Time within which a target's write arrives at a daemon that reads at the source. */
    static constexpr std::chrono::milliseconds DirectReadLatency {300};
    /** Time within which a target's write arrives at a daemon that gets items from its peers. */
    static constexpr std::chrono::milliseconds RelayedReadLatency {1500};

    /**
     * `own`: address at which this daemon receives datagrams; `seeds`: such addresses of the seeds.
     * `entryInterval`: interval at which targets write their entries.
     */
    ColdViewTracker(const FleetDirectory &directory, std::vector<Endpoint> seeds, Endpoint own,
                    Duration entryInterval);

    /** To be called several times per second. */
    ColdTargetSenders review(const ItemReachability &items, Instant now);
    /**
     * True shortly after the start, while entries may still be from before the end of an
     * evacuation. This time is shorter for a daemon that reads at the source itself
     * (`readsAtSource`).
     */
    bool mayHaveStaleEntries(bool readsAtSource, Instant now) const;

private:
    ColdView view(const ItemReachability &items, Instant now);
    void updateMembers(const std::vector<std::uint64_t> &members, Instant now);
    /**
     * True if most of the seeds and most of the members heard of within AddressRetention are live.
     * This holds in at most one of two partitions that can't hear each other.
     */
    bool isMainPartition(Instant now) const;

    const FleetDirectory &m_directory;
    const std::vector<Endpoint> m_seeds;
    const Endpoint m_own;
    const Duration m_entryInterval;
    std::optional<Instant> m_started;
    Instant m_lastReview {};
    Instant m_doubtfulUntil {};
    /** Members of the last review, sorted. */
    std::vector<std::uint64_t> m_members;
    /** Time at which a member was last added to m_members. */
    Instant m_lastMemberAdded {};
};

} // namespace Apricothook
