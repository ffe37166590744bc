#pragma once

#include <apricothook/fleetview/apricothook_fleet_directory.hpp>
#include <apricothook/fleetview/apricothook_peer_datagram.hpp>

#include <map>

namespace Apricothook {

/**
 * Decides whether a daemon reads the published items at their source.
 *
 * A few daemons read on behalf of the whole fleet and report several times per second to the
 * readers of each cell, which then don't read at the source. A reader of a cell that hears too few
 * of them reads at the source itself. Changes therefore arrive as fast as with readers in each
 * cell, even if daemons fail or are cut off.
 */
class ReaderSelection
{
public:
    /** Interval between the announcements of a reader of the fleet that has read no changes. */
    static constexpr std::chrono::milliseconds AnnouncementInterval {400};
    /**
     * Silence after which a reader counts as failed; two announcements may be lost before. Equals
     * the limit for members of the own cell.
     */
    static constexpr std::chrono::milliseconds SilenceLimit {1000};
    /**
     * Number of readers of the fleet that must be heard. Two, as the source may be rejecting one
     * that hasn't noticed yet.
     */
    static constexpr std::size_t RequiredFleetReaders = 2;

    void recordAnnouncement(const ReaderAnnouncement &announcement, Instant now);
    /** Number of readers of the fleet that were heard within SilenceLimit and reach the source. */
    std::size_t reachableReaders(Instant now) const;
    /** Whether the readers of the fleet reach the source. */
    SourceReachability sourceReachability(Instant now) const;
    /**
     * True if `self` must read at the source, as a reader of the fleet or as a reader of a cell
     * that hears too few of those.
     */
    bool shouldRead(const FleetDirectory &directory, const MemberInfo &self, Instant now) const;

private:
    struct ReceivedAnnouncement
    {
        ReaderAnnouncement announcement;
        Instant receivedAt {};
    };

    std::map<MemberId, ReceivedAnnouncement> m_announcements;
};

} // namespace Apricothook
