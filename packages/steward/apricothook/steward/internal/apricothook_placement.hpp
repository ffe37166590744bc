#pragma once

#include <apricothook/steward/apricothook_belief_expiry.hpp>
#include <apricothook/steward/apricothook_shard_map.hpp>
#include <apricothook/steward/internal/apricothook_target_ledger.hpp>
#include <apricothook/steward/internal/apricothook_waiting_request.hpp>

#include <optional>
#include <unordered_map>
#include <vector>

namespace Apricothook {

/** Room that can be used at this moment. */
struct Room
{
    /** Share of the targets that is this side's in a partition. */
    double share = 1;
    /** During a hand-over only half of the slots are given out. */
    bool isHandOver = false;
    /** Short requests came lately, so one target is kept free of long prefill for them. */
    bool keepsShortLane = false;
};

/** The target chosen for a request. */
struct Choice
{
    std::size_t index = 0;
    Prediction prediction;
    bool isLong = false;
};

/** The targets of one shard, and the choice among them by predicted finish. */
class Placement
{
public:
    Placement(const StewardPolicy &policy, const BeliefExpiry &expiry);
    /** Takes the shard's targets; ledgers of targets that stay are kept. */
    void configure(const Shard &shard);
    std::optional<std::size_t> indexOf(const TargetId &target) const;
    TargetLedger &at(std::size_t index) { return m_targets[index]; }
    std::vector<TargetLedger> &targets() { return m_targets; }
    const std::vector<TargetLedger> &targets() const { return m_targets; }

    void setLowestTier(Tier lowest) { m_lowestTier = lowest; }
    /** Targets that don't leave, serve the model and aren't excluded. */
    TargetMask candidates(const ReserveRequest &request) const;
    /** Targets with a free slot. */
    TargetMask open(const Room &room, Instant now) const;
    std::uint32_t freeSlots(TargetMask mask, const Room &room, Instant now) const;
    std::uint32_t usableSlots(const Room &room, Instant now) const;
    /** The best target that finishes the request within `left`; nothing when none has room. */
    /** Cached tokens that are given up by choosing among `open` and not among all `candidates`. */
    std::uint32_t cacheLoss(const ReserveRequest &request, TargetMask candidates, TargetMask open,
                            Instant now) const;
    std::optional<Choice> choose(const ReserveRequest &request, TargetMask mask, Duration left,
                                 const Room &room, Instant now) const;
    /** Shortest time on an idle candidate; without straggler factors where `isBase`. */
    Duration idleTime(const ReserveRequest &request, TargetMask mask, bool isBase,
                      Instant now) const;
    bool isLong(const ReserveRequest &request, TargetMask mask, Instant now) const;

private:
    std::uint32_t freeSlotsOf(std::size_t index, const Room &room, Instant now) const;
    std::uint32_t cachedTokens(std::size_t index, const ReserveRequest &request, Instant now) const;
    /** Whether only upper tiers may have the slots that are left. */
    bool isTrunkKept(const ReserveRequest &request, const Room &room, Instant now) const;
    bool mayStartLong(const Room &room, Instant now) const;
    static Duration score(const TargetLedger &target, const Prediction &prediction);

    const StewardPolicy &m_policy;
    const BeliefExpiry &m_expiry;
    Tier m_lowestTier {LowestTierRank};
    std::vector<TargetLedger> m_targets;
    std::unordered_map<TargetId, std::size_t> m_index;
};

} // namespace Apricothook
