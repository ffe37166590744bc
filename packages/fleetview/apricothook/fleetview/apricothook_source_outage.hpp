#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <optional>

namespace Apricothook {

/** Whether the daemons of a cell reach the source of the published items. */
struct SourceReachability
{
    /** The last call of at least one daemon succeeded. */
    bool anyReachable = false;
    /** The last call of at least one daemon failed. */
    bool anyFailed = false;

    auto operator<=>(const SourceReachability &) const = default;
};

/**
 * Distinguishes an outage of the source from a source that rejects single VMs.
 *
 * During an outage, entries of live targets expire; they are registered again within about two
 * seconds after its end. Removals received in this time are therefore unreliable. A removal
 * received while any daemon of the cell reaches the source is reliable, and its target must get no
 * more requests.
 */
class SourceOutage
{
public:
    /** Targets register again within about two seconds after the source is back. */
    static constexpr std::chrono::milliseconds ReregistrationTime {2500};
    /**
     * Shorter failures don't count as an outage. If the source rejects both readers of a cell, the
     * next ones in the cell reach it within two ticks, and entries don't expire that soon.
     */
    static constexpr std::chrono::milliseconds ShortestOutage {500};

    void note(const SourceReachability &contact, Instant now);
    /** True if a removal received now may be due to an expired entry of a live target. */
    bool mayHaveExpired(Instant now) const { return now < removalsUncertainUntil(now); }
    /** Time until which removals are unreliable; in the past if they aren't. */
    Instant removalsUncertainUntil(Instant now) const;

private:
    bool isOngoing(Instant now) const { return m_since && now - *m_since >= ShortestOutage; }

    std::optional<Instant> m_since;
    std::optional<Instant> m_ended;
};

} // namespace Apricothook
