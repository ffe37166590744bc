#pragma once

#include <apricothook/dispatch/apricothook_cold_guard.hpp>
#include <apricothook/fleetview/apricothook_fleet_directory.hpp>

namespace Apricothook {

/** What this daemon knows of the published items. */
struct ItemOutlook
{
    /** They reach it, by its own reading or another's. */
    bool someReach = false;
    /** No evacuation ended unheard after some target had written the entry that is known. */
    bool knowsRemovals = false;

    auto operator<=>(const ItemOutlook &) const = default;
};

/**
 * Judges what this daemon may rely on where targets may be cold.
 *
 * Whoever was cut off, or stood still, believes for a moment what was true before: an evacuation
 * may have begun and ended meanwhile, and its targets turned cold. Until what was missed must have
 * come, such a daemon takes all targets for cold.
 */
class ColdOutlook
{
public:
    /** What was missed has come by then, from peers or by own reading. */
    static constexpr std::chrono::milliseconds CatchUpTime {2000};
    /** Between two reviews this daemon has stood still. */
    static constexpr std::chrono::milliseconds StandstillTime {1000};
    /** In so many pauses between entries all targets have written theirs, and those have come. */
    static constexpr int EntryPauses = 2;

    /** `own`: where this daemon receives datagrams; `seeds` are such addresses of others. */
    ColdOutlook(const FleetDirectory &directory, std::vector<Endpoint> seeds, Endpoint own,
                Duration entryPause);

    /** To be called some times a second. */
    ColdFleet review(const ItemOutlook &items, Instant now);

private:
    ColdView view(const ItemOutlook &items, Instant now);
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
};

} // namespace Apricothook
