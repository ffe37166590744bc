#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <optional>

namespace Apricothook {

/** What the daemons of a cell tell of the published items' source. */
struct SourceReachability
{
    /** Some daemon's last call was answered. */
    bool anyReachable = false;
    /** Some daemon's last call failed. */
    bool anyFailed = false;

    auto operator<=>(const SourceReachability &) const = default;
};

/**
 * Tells an outage of the source from one that turns single VMs away.
 *
 * Entries of targets lapse in an outage though the targets live, and come back within some two
 * seconds of its end. A removal that is heard then is doubtful; one that is heard while some daemon
 * of the cell reaches the source is true, and its target must get nothing more.
 */
class SourceOutage
{
public:
    /** Targets register again within about two seconds of the source's return. */
    static constexpr std::chrono::milliseconds ReregistrationTime {2500};
    /**
     * When both readers of a cell are turned away, the next in it reach the source within two
     * ticks; entries live longer than that without their targets' word.
     */
    static constexpr std::chrono::milliseconds ShortestOutage {500};

    void note(const SourceReachability &contact, Instant now);
    /** A removal that is heard now may be an entry that has lapsed. */
    bool mayHaveExpired(Instant now) const { return now < removalsUncertainUntil(now); }
    /** Until then removals are doubtful; in the past when they aren't. */
    Instant removalsUncertainUntil(Instant now) const;

private:
    bool lasts(Instant now) const { return m_since && now - *m_since >= ShortestOutage; }

    std::optional<Instant> m_since;
    std::optional<Instant> m_ended;
};

} // namespace Apricothook
