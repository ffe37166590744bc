#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>

#include <map>
#include <vector>

namespace Apricothook {

/** True if the entry only renews the previous one; a shorter cold time needs no message. */
bool isRenewal(const TargetEntry &before, TargetEntry now);

/**
 * The order of the instances of each target, by the start times in their entries.
 *
 * A write of a crashed process may take effect after the writes of the process that replaced it,
 * with a higher revision, so revisions don't order instances. An entry with an earlier start is
 * held back; a live target overwrites it with its next heartbeat. The earlier start counts only if
 * that doesn't happen, which means that the clock of the target's VM was set back before a restart.
 */
class InstanceHistory
{
public:
    /** Time for which the last start of a target that was removed is remembered. */
    static constexpr std::chrono::seconds Lifetime {60};
    /** Heartbeats that a live target can't miss without losing its entry. */
    static constexpr int MissedHeartbeats = 5;

    /** `entryInterval`: interval at which targets write their entries. */
    explicit InstanceHistory(Duration entryInterval)
        : m_longestSilence(MissedHeartbeats * entryInterval)
    {
    }

    /**
     * Latest known start of the target; zero if none is known. `known`: the entry in force; null if
     * there is none.
     */
    std::uint64_t latestStart(const TargetId &target, const TargetEntry *known) const;
    /** Remembers the start of a target that is removed. */
    void recordRemoved(const TargetEntry &entry, Instant now);
    /**
     * Holds an entry with an earlier start back. Returns false if it only renews one that is held
     * already.
     */
    bool hold(const TargetEntry &entry, Instant now);
    /** Discards the entry that is held for the target. Returns false if there was none. */
    bool discard(const TargetId &target);
    /**
     * Removes and returns the held entries that no later instance has overwritten for too long.
     * `confirmed`: all that was published until then is known.
     */
    std::vector<TargetEntry> takeUncontested(Instant confirmed);

private:
    struct RemovedTarget
    {
        std::uint64_t startedAt = 0;
        Instant removed {};
    };
    struct HeldEntry
    {
        TargetEntry entry;
        Instant since {};
    };

    const Duration m_longestSilence;
    std::map<TargetId, RemovedTarget> m_removed;
    std::map<TargetId, HeldEntry> m_held;
};

} // namespace Apricothook
