#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/ports/apricothook_target_event.hpp>
#include <apricothook/steward/apricothook_steward_policy.hpp>
#include <apricothook/steward/apricothook_steward_snapshot.hpp>
#include <apricothook/steward/internal/apricothook_prefix_belief.hpp>
#include <apricothook/steward/internal/apricothook_reservation.hpp>
#include <apricothook/steward/internal/apricothook_speed.hpp>
#include <apricothook/steward/internal/apricothook_target_health.hpp>

namespace Apricothook {

/** The ledger of one target: what is reserved there and what it is believed to do how fast. */
class TargetLedger
{
public:
    TargetLedger(const Target &target, const StewardPolicy &policy);

    /** Takes a new text's words for the target; what was learned stays. */
    void configure(const Target &target);
    const TargetId &id() const { return m_target.id; }
    const VmId &vm() const { return m_target.vm; }
    bool serves(const ModelId &model) const;
    bool isLeaving() const { return m_isLeaving; }
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }

    /** Slots that may be in use; `share` of the target where a partition is likely. */
    std::uint32_t usableSlots(double share, Instant now) const;
    std::uint32_t freeSlots(double share, Instant now) const;
    bool hasMemoryFor(std::uint64_t kvTokens, double share) const;
    Prediction predict(const ReserveRequest &request, std::uint32_t cachedTokens,
                       Instant now) const;
    /** As predict(), for an idle target; without the straggler factor where `isBase`. */
    Duration idleTime(const ReserveRequest &request, std::uint32_t cachedTokens, bool isBase,
                      Instant now) const;
    bool isLong(Duration prefill) const { return prefill > m_policy.longPrefill; }
    bool hasLongPrefill(Instant now) const { return now < m_longUntil; }
    std::uint64_t prefillAhead(Instant now) const;
    std::uint32_t running() const { return m_running; }
    /** Share of the slots in use. */
    double occupancy() const;

    void add(const Reservation &reservation);
    void remove(const Reservation &reservation, Instant now);
    void ended(const Reservation &reservation, const Release &release, Instant now);
    /** Suspects the target when the reservation is long overdue and nothing else came either. */
    bool checkOverdue(const Reservation &reservation, Instant now);
    void reported(const LoadReport &report, Instant now);
    void cacheChanged(const CacheEvents &events, Instant now);
    TargetHealth::State health(Instant now) const { return m_health.state(now); }
    PrefixBelief &belief() { return m_belief; }
    const PrefixBelief &belief() const { return m_belief; }
    double factor(Instant now) const { return m_speed.factor(now, m_running > 0); }
    TargetSnapshot snapshot(double share, Instant now) const;

private:
    Duration decodeTime(std::uint32_t outputTokens, std::uint32_t batch) const;
    Duration prefillTime(std::uint64_t tokens) const;
    void learn(const Reservation &reservation, const Release &release, Instant now);

    const StewardPolicy &m_policy;
    Target m_target;
    Speed m_speed;
    TargetHealth m_health;
    PrefixBelief m_belief;
    bool m_isLeaving = false;
    std::uint32_t m_running = 0;
    /** Most that ran since the last report, and what the report saw beyond it. */
    std::uint32_t m_peak = 0;
    std::uint32_t m_foreign = 0;
    Instant m_foreignUntil {};
    std::uint64_t m_kvTokens = 0;
    Instant m_prefillUntil {};
    Instant m_longUntil {};
    Instant m_answeredAt {};
};

} // namespace Apricothook
