#pragma once

#include <apricothook/fleetview/apricothook_item_replica.hpp>
#include <apricothook/fleetview/apricothook_item_watcher.hpp>
#include <apricothook/fleetview/apricothook_source_outage.hpp>
#include <apricothook/gateway/apricothook_gateway.hpp>
#include <apricothook/serving/apricothook_instance_history.hpp>
#include <apricothook/serving/apricothook_item_decoder.hpp>

#include <map>
#include <optional>

namespace Apricothook {

/**
 * Applies published items to the gateway.
 *
 * A target's entry that can't be decoded was written by something other than the target. It
 * registers no target and still replaces the previous entry; other entries are unaffected.
 *
 * A configuration replaces only an older one. Entries of targets expire during an outage of the
 * service that stores them, though the targets keep serving. Removals received during an outage or
 * shortly after it are therefore delayed until a live target has had time to register again.
 */
class PublishedState
{
public:
    /**
     * How long the draining state of a target is remembered. A delayed write and a target's drain
     * take some seconds each; this is ten times as long. Few targets of a fleet leave per minute,
     * so there are few records.
     */
    static constexpr std::chrono::seconds DrainRecordLifetime {60};

    /** `entryInterval`: interval at which targets write their entries. */
    PublishedState(EventLoop &loop, Gateway &gateway, const ItemDecoder &decoder, LogWriter &log,
                   Duration entryInterval = FleetBounds().entryInterval);
    ~PublishedState();
    PublishedState(const PublishedState &) = delete;
    PublishedState &operator=(const PublishedState &) = delete;

    void apply(const ItemUpdate &update);
    /** All that was published until `time` is known. */
    void confirmView(Instant time);
    /** Sets the state of the source as found by a call of this daemon's own, which ended so. */
    void setSourceState(SourceState state, const TransferRecord &record = {});
    /** Discards the state, which is outdated once this daemon no longer reads at the source. */
    void clearSourceState() { m_sourceState.reset(); }
    /** Takes the state of the source as reported by the daemons of the cell, including this one. */
    void recordSourceReachability(const SourceReachability &reachability)
    {
        m_outage.note(reachability, m_loop.now());
    }
    bool reachesSource() const { return m_sourceState == SourceState::Reachable; }
    bool hasLostSource() const { return m_sourceState && !reachesSource(); }
    const ItemReplica &replica() const { return m_replica; }
    bool hasConfiguration() const { return m_generation.has_value(); }
    const std::optional<Generation> &generation() const { return m_generation; }

private:
    /** Returns true if peers need the change. */
    bool onChange(const ItemChange &change);
    void applyConfiguration(const ItemChange &change);
    bool applyTarget(const ItemChange &change);
    void applyEvacuation(const ItemChange &change);
    /** Puts the entry into force, whatever instance it is of. */
    void putTarget(const TargetEntry &target, Revision revision);
    /** Holds back an entry of an instance before the latest; true if peers need it. */
    bool holdFormerInstance(const TargetEntry &target, std::uint64_t latestStart,
                            Revision revision);
    void removeTarget(const TargetId &target, Revision revision);
    /** Removes the target from the gateway, and remembers its start. */
    void forgetTarget(const TargetId &target);
    void reject(const ItemChange &change, const ItemError &error);
    void rejectTarget(const ItemChange &change, const ItemError &error);
    /** True if the target wrote this entry before it announced that it is draining. */
    bool isOlderThanDraining(const TargetEntry &target) const;
    void recordDraining(const TargetEntry &target);
    void cancelDelayedRemoval(const TargetId &target);

    EventLoop &m_loop;
    Gateway &m_gateway;
    const ItemDecoder &m_decoder;
    LogWriter &m_log;
    ItemReplica m_replica;
    std::optional<Generation> m_generation;
    std::optional<SourceState> m_sourceState;
    SourceOutage m_outage;
    InstanceHistory m_instances;
    /** Timers of delayed removals, by target. */
    std::map<TargetId, TimerId> m_delayedRemovals;
    struct DrainRecord
    {
        std::uint64_t sequence = 0;
        Instant recordedAt {};
    };
    /** Target instances that announced draining; kept after the target is removed. */
    std::map<TargetInstance, DrainRecord> m_drainRecords;
};

} // namespace Apricothook
