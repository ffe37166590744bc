#pragma once

#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/model/apricothook_member_view.hpp>
#include <apricothook/ports/apricothook_target_event.hpp>
#include <apricothook/steward/apricothook_belief_expiry.hpp>
#include <apricothook/steward/apricothook_shard_map.hpp>
#include <apricothook/steward/apricothook_steward_policy.hpp>
#include <apricothook/steward/apricothook_steward_snapshot.hpp>

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace Apricothook {

class ServiceFloor;
class ShardLedger;
struct LedgerContext;

/**
 * Keeps the ledgers of the shards that this daemon is the steward of, and decides who gets room on
 * their targets: docs/PLACEMENT.md. Which work is shed under pressure: docs/SHEDDING.md.
 */
class Steward
{
public:
    Steward(const MemberView &members, EventSink &events);
    Steward(const MemberView &members, EventSink &events, std::unique_ptr<BeliefExpiry> expiry,
            const StewardPolicy &policy);
    ~Steward();
    Steward(const Steward &) = delete;
    Steward &operator=(const Steward &) = delete;

    void applyConfiguration(std::shared_ptr<const Configuration> configuration, Instant now,
                            Outbox &out);
    /** Replaces the list of leaving VMs; their targets get no new work from now on. */
    void setLeavingVms(const std::vector<VmId> &vms, Instant now, Outbox &out);
    /** Takes over and gives up shards; call after every change of the member view. */
    void membersChanged(Instant now, Outbox &out);
    /** Call about every 50 ms: leases, patience, floors. */
    void tick(Instant now, Outbox &out);

    void handle(const MemberId &from, const ReserveRequest &message, Instant now, Outbox &out);
    void handle(const MemberId &from, const ReserveCancel &message, Instant now, Outbox &out);
    void handle(const MemberId &from, const Release &message, Instant now, Outbox &out);
    void handle(const MemberId &from, const InFlightReport &message, Instant now, Outbox &out);
    void handle(const MemberId &from, const FloorRaise &message, Instant now, Outbox &out);
    void handle(const MemberId &from, const FloorAcknowledged &message, Instant now, Outbox &out);
    void loadReported(const LoadReport &report, Instant now);
    void cacheEvents(const CacheEvents &events, Instant now);

    /** The shards of the text in force; null before there is one. */
    const ShardMap *shardMap() const { return m_map.get(); }
    /** Shards whose ledger is here: their targets are to be polled by this daemon. */
    std::vector<ShardId> shards() const;
    std::vector<ShardSnapshot> snapshot(Instant now) const;
    /**
     * Whether any entry holds room on the target for work with the model; false for targets whose
     * ledger isn't here. A model that is in use must not be unloaded.
     */
    bool isInUse(const TargetId &target, const ModelId &model) const;

private:
    struct Held;
    struct ServiceState;

    ShardLedger *find(const ShardId &shard);
    template <typename Message>
    void forward(const Message &message, Instant now, Outbox &out);
    void takeShards(Instant now, Outbox &out);
    void take(const Shard &shard, Instant now);
    ServiceState &stateOf(const ServiceId &service);
    void expectDeputies(Instant now);
    void updatePeers(const ServiceId &service, ServiceState &state, Instant now);
    void settle(const ServiceId &service, Instant now, Outbox &out);
    void tellSummary(const MemberId &to, Held &held, Instant now, Outbox &out) const;
    void recordFloor(const ServiceId &service, Tier before, Tier after);
    MemberState memberState(const MemberId &member) const;

    const MemberView &m_members;
    EventSink &m_events;
    std::unique_ptr<BeliefExpiry> m_expiry;
    StewardPolicy m_policy;
    std::unordered_map<CustomerId, std::uint32_t> m_weights;
    std::unique_ptr<LedgerContext> m_context;
    std::shared_ptr<const Configuration> m_configuration;
    std::unique_ptr<ShardMap> m_map;
    Tier m_lowestTier {LowestTierRank};
    std::set<VmId> m_leaving;
    std::uint64_t m_refutation = 0;
    std::map<ServiceId, std::unique_ptr<ServiceState>> m_services;
    std::map<ShardId, std::unique_ptr<Held>> m_held;
};

} // namespace Apricothook
