#pragma once

#include <apricothook/dispatch/apricothook_cold_target_limiter.hpp>
#include <apricothook/fleetview/apricothook_fleet_directory.hpp>

namespace Apricothook {

/** How what is published reaches this daemon. */
struct ItemReach
{
    bool byOwnReading = false;
    /** By its own reading or another's. */
    bool byAnybody = false;

    auto operator<=>(const ItemReach &) const = default;
};

/**
 * Judges what this daemon may rely on where targets may be cold.
 *
 * Whoever was cut off, or stood still, believes for a moment what was true before: an evacuation
 * may have begun and ended meanwhile, and its targets turned cold. One that has just started may
 * have read entries of before such an end, which no listing shows. Until what was missed must have
 * come, such a daemon takes all targets for cold.
 *
 * When parts of a fleet find each other again, names come one after the other, and one daemon after
 * the other would take itself for a target's sender. While new names come none does.
 */
class ColdViewTracker
{
public:
    /** What was missed has come by then, from peers or by own reading. */
    static constexpr std::chrono::milliseconds CatchUpTime {2000};
    /** Between two reviews this daemon has stood still. */
    static constexpr std::chrono::milliseconds PauseThreshold {1000};
    /** After a new name the senders stay as they are for as long as any bound's window lasts. */
    static constexpr std::chrono::milliseconds NameTime {1000};
    /** What a target writes has come by then, to one that reads at the source and to others. */
    static constexpr std::chrono::milliseconds OwnReadingTime {300};
    static constexpr std::chrono::milliseconds OthersReadingTime {1500};

    /** `own`: where this daemon receives datagrams; `seeds` are such addresses of others. */
    ColdViewTracker(const FleetDirectory &directory, std::vector<Endpoint> seeds, Endpoint own,
                    Duration entryPause);

    /** To be called some times a second. */
    ColdTargetSenders review(const ItemReach &items, Instant now);
    /** It has just started: reading at the source itself, it knows sooner which targets are cold.
     */
    bool mayHaveStaleEntries(bool ownReaches, Instant now) const;

private:
    ColdView view(const ItemReach &items, Instant now);
    void noteMembers(const std::vector<std::uint64_t> &members, Instant now);
    /**
     * Most of the seeds and of all members that were heard of in AddressLimit are live. Of two
     * parts of a fleet that don't hear each other only one is so.
     */
    bool isMainPart(Instant now) const;

    const FleetDirectory &m_directory;
    const std::vector<Endpoint> m_seeds;
    const Endpoint m_own;
    const Duration m_entryPause;
    std::optional<Instant> m_started;
    Instant m_reviewed {};
    Instant m_doubtUntil {};
    /** Of the last review; sorted. */
    std::vector<std::uint64_t> m_members;
    /** When a name was last added to them. */
    Instant m_nameAdded {};
};

} // namespace Apricothook
