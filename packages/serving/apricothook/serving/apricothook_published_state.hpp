#pragma once

#include <apricothook/fleetview/apricothook_item_replica.hpp>
#include <apricothook/fleetview/apricothook_item_watcher.hpp>
#include <apricothook/fleetview/apricothook_source_outage.hpp>
#include <apricothook/gateway/apricothook_gateway.hpp>
#include <apricothook/serving/apricothook_item_decoder.hpp>

#include <map>
#include <optional>

namespace Apricothook {

/**
 * Brings published items into force at the gateway.
 *
 * An entry that can't be read comes from a writer other than its target. It names no target, and
 * what it replaced is gone; the other entries hold.
 *
 * A configuration replaces only an older one. Entries of targets lapse while the service that holds
 * them is away, though the targets serve on; removals that are heard then, and shortly after, are
 * held until a living target has had time to register again.
 */
class PublishedState
{
public:
    /**
     * A target's leaving is remembered for so long. A held-up write and a target's drain take some
     * seconds each; ten times as much is enough, and a fleet has few leaving targets a minute.
     */
    static constexpr std::chrono::seconds LeavingMemory {60};

    PublishedState(EventLoop &loop, Gateway &gateway, const ItemDecoder &decoder, LogWriter &log);
    ~PublishedState();
    PublishedState(const PublishedState &) = delete;
    PublishedState &operator=(const PublishedState &) = delete;

    void apply(const ItemUpdate &update);
    /** What this daemon's own reading shows. */
    void setSourceState(SourceState state);
    /** This daemon doesn't read at the source any more; the last state says nothing now. */
    void forgetSourceState() { m_sourceState.reset(); }
    /** What the daemons of the cell, this one with them, tell of the source. */
    void noteSource(const SourceReachability &contact) { m_outage.note(contact, m_loop.now()); }
    bool reachesSource() const { return m_sourceState == SourceState::Reachable; }
    bool hasLostSource() const { return m_sourceState && !reachesSource(); }
    const ItemReplica &replica() const { return m_replica; }
    bool hasConfiguration() const { return m_generation.has_value(); }

private:
    /** True when peers need to hear of it. */
    bool onChange(const ItemChange &change);
    void takeConfiguration(const ItemChange &change);
    bool takeTarget(const ItemChange &change);
    void takeEvacuation(const ItemChange &change);
    void removeTarget(const TargetId &target, Revision revision);
    void reject(const ItemChange &change, const ItemFault &fault);
    void rejectTarget(const ItemChange &change, const ItemFault &fault);
    /** The target wrote this entry before the one that told of its leaving. */
    bool isOlderThanLeaving(const TargetEntry &target) const;
    void noteLeaving(const TargetEntry &target);
    /** The target says only that it lives; that it is less cold than before is known without it. */
    static bool isBeat(const TargetEntry &before, TargetEntry now);
    void releaseHeld(const TargetId &target);

    EventLoop &m_loop;
    Gateway &m_gateway;
    const ItemDecoder &m_decoder;
    LogWriter &m_log;
    ItemReplica m_replica;
    std::optional<Generation> m_generation;
    std::optional<SourceState> m_sourceState;
    SourceOutage m_outage;
    /** Removals that wait, by target. */
    std::map<TargetId, TimerId> m_held;
    struct Leaving
    {
        std::uint64_t sequence = 0;
        Instant heard {};
    };
    /** Starts of targets that told of their leaving, also after they are gone. */
    std::map<TargetInstance, Leaving> m_leaving;
};

} // namespace Apricothook
