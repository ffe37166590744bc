#pragma once

#include <apricothook/fleetview/apricothook_fleet_directory.hpp>
#include <apricothook/fleetview/apricothook_peer_datagram.hpp>

#include <map>

namespace Apricothook {

/**
 * Whether a daemon reads the published items at their source.
 *
 * A few daemons read for the whole fleet and tell the readers of each cell what they have read some
 * times a second; those leave reading to them. A reader of a cell that hears too few of them reads
 * for itself, so a change comes as soon as with readers in each cell, whoever dies or is cut off.
 */
class ReaderSelection
{
public:
    /** Between the notes of a reader of the fleet that has nothing new. */
    static constexpr std::chrono::milliseconds AnnouncementInterval {400};
    /**
     * A reader that is silent for longer counts no more; two notes may be lost. As long as a silent
     * member of the own cell is waited for.
     */
    static constexpr std::chrono::milliseconds SilenceLimit {1000};
    /** Readers to be heard: one may be turned away by the source and not know it yet. */
    static constexpr std::size_t FewestReaders = 2;

    void recordAnnouncement(const ReaderAnnouncement &note, Instant now);
    /** Readers of the fleet that were heard of late and reach the source. */
    std::size_t reachableReaders(Instant now) const;
    /** What readers of the fleet tell of the source. */
    SourceReachability sourceReachability(Instant now) const;
    /** `self` is to read; as a reader of the fleet, or of a cell that hears too few of them. */
    bool shouldRead(const FleetDirectory &directory, const MemberInfo &self, Instant now) const;

private:
    struct Heard
    {
        ReaderAnnouncement note;
        Instant at {};
    };

    std::map<MemberId, Heard> m_heard;
};

} // namespace Apricothook
