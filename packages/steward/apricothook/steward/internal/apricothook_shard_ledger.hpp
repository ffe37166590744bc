#pragma once

#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/model/apricothook_member_view.hpp>
#include <apricothook/ports/apricothook_target_event.hpp>
#include <apricothook/steward/apricothook_shed_gate.hpp>
#include <apricothook/steward/apricothook_steward_event.hpp>
#include <apricothook/steward/apricothook_steward_snapshot.hpp>
#include <apricothook/steward/internal/apricothook_ended_attempts.hpp>
#include <apricothook/steward/internal/apricothook_fair_queue.hpp>
#include <apricothook/steward/internal/apricothook_placement.hpp>

#include <array>
#include <set>
#include <unordered_map>
#include <vector>

namespace Apricothook {

/** Weights of the customers of the text in force. */
using CustomerWeights = std::unordered_map<CustomerId, std::uint32_t>;

/** What the ledgers of one steward share. */
struct LedgerContext
{
    const StewardPolicy &policy;
    const BeliefExpiry &expiry;
    const MemberView &members;
    EventSink &events;
    const CustomerWeights &weights;
};

/**
 * The ledger of one shard: who has room on its targets, and who waits for it. All calls may come
 * doubled, late and out of order.
 */
class ShardLedger
{
public:
    ShardLedger(const ShardId &id, ShedGate &gate, const LedgerContext &context);
    ShardLedger(const ShardLedger &) = delete;
    ShardLedger &operator=(const ShardLedger &) = delete;

    const ShardId &id() const { return m_id; }
    void configure(const Shard &shard, Tier lowestTier);
    /**
     * Waits for the reports of these members before it gives out all room, and where the service
     * has other stewards for their floors.
     */
    void startHandOver(std::set<MemberId> reporters, bool hasPeers, Instant now);
    void setLeaving(const std::set<VmId> &vms, Instant now, Outbox &out);

    void handle(const ReserveRequest &request, Instant now, Outbox &out);
    void handle(const ReserveCancel &message, Instant now, Outbox &out);
    void handle(const Release &message, Instant now, Outbox &out);
    void handle(const InFlightReport &message, Instant now, Outbox &out);
    void loadReported(const LoadReport &report, Instant now);
    void cacheChanged(const CacheEvents &events, Instant now);
    /** Drops what waits for entries that are dead. */
    void membersChanged(Instant now, Outbox &out);
    void tick(Instant now, Outbox &out);

    /** Sheds what waits below the floor, and what is doomed and may be shed. */
    void settle(Instant now, Outbox &out);
    /** Gives free room to those who wait. */
    void serve(Instant now, Outbox &out);
    /** Whether the target is one of this shard's. */
    bool has(const TargetId &target) const { return m_placement.indexOf(target).has_value(); }
    std::size_t waiting() const { return m_waiting.size(); }
    ShardSummary summary(Instant now) const;
    ShardSnapshot snapshot(Instant now) const;
    /** Whether any entry holds room on the target for work with the model. */
    bool isInUse(const TargetId &target, const ModelId &model) const;

private:
    using Reservations = std::unordered_map<AttemptId, Reservation, AttemptHash>;

    bool repeat(const ReserveRequest &request, Instant now, Outbox &out);
    void admit(const ReserveRequest &request, Instant now, Outbox &out);
    bool placeAtOnce(const WaitingRequest &request, Instant now, Outbox &out);
    WaitingRequest describe(const ReserveRequest &request, Instant now) const;
    void enqueue(WaitingRequest request, Instant now, Outbox &out);
    void boundQueue(Instant now);
    void doom(WaitingRequest &request, Instant now);
    void reserve(const ReserveRequest &request, const Choice &choice, Instant now, Outbox &out);
    void reply(const AttemptId &attempt, const Reservation &reservation, Instant now, Outbox &out);
    void answer(const AttemptId &attempt, ReserveVerdict verdict, Instant now, Outbox &out) const;
    /** Ends a waiting request with this verdict; remembered for those who send again. */
    void refuse(const ReserveRequest &request, ReserveVerdict verdict, Instant now, Outbox &out);
    /** Time until the floor can have fallen to the tier, when the pressure ends now. */
    Duration timeToAdmit(Tier tier) const;
    ReserveReply refusal(const AttemptId &attempt, ReserveVerdict verdict, Instant now) const;
    void dropWaiting(const AttemptId &attempt);
    void free(Reservations::iterator reservation, Instant now);
    void adopt(const InFlight &running, Instant now);
    void checkReservations(Instant now);
    void checkWaiting(Instant now, Outbox &out);
    void checkOne(WaitingRequest &request, Instant now, Outbox &out);
    void requeue(Instant now, Outbox &out);
    Duration expectedWait(Tier tier, const CustomerId &customer, Instant now) const;
    TargetMask waitedForAbove(Tier tier) const;
    bool isDead(const MemberInstance &entry) const;
    bool isReady(Instant now) const
    {
        return (m_awaited.empty() && now >= m_earliestReady) || now >= m_readyAt;
    }
    void endHandOver();
    Room room(Instant now) const;
    FairQueue &queueOf(Tier tier) { return m_queues[tier.rank()]; }
    double weightOf(const CustomerId &customer) const;
    void record(StewardEvent event, const std::string &details) const;

    ShardId m_id;
    ShedGate &m_gate;
    const LedgerContext &m_context;
    Placement m_placement;
    Reservations m_reservations;
    std::unordered_map<AttemptId, WaitingRequest, AttemptHash> m_waiting;
    std::set<AttemptId> m_doomed;
    std::array<FairQueue, LowestTierRank + 1> m_queues;
    EndedAttempts m_ended;
    Duration m_slotTime {};
    std::set<MemberId> m_awaited;
    Instant m_shortSeenAt {};
    Instant m_earliestReady {};
    Instant m_readyAt {};
};

} // namespace Apricothook
