#include <apricothook/steward/internal/apricothook_placement.hpp>

#include <algorithm>
#include <bit>
#include <utility>

namespace Apricothook {

namespace {

/** Prefill that is worked again because the prompt's cache is elsewhere costs others this share. */
constexpr double WastedPrefillCost = 0.25;
/** Between equals the emptier target is taken. */
constexpr double OccupancyMicroseconds = 1000;

TargetMask bitOf(std::size_t index)
{
    return TargetMask(1) << index;
}

/** Calls `visit` with the index of each target of the mask. */
template <typename Visit>
void forEach(TargetMask mask, Visit visit)
{
    for (; mask != 0; mask &= mask - 1)
        visit(static_cast<std::size_t>(std::countr_zero(mask)));
}

} // namespace

Placement::Placement(const StewardPolicy &policy, const BeliefExpiry &expiry)
    : m_policy(policy), m_expiry(expiry)
{
}

void Placement::configure(const Shard &shard)
{
    std::vector<TargetLedger> targets;
    targets.reserve(shard.targets.size());
    for (const Target &target : shard.targets) {
        const std::optional<std::size_t> before = indexOf(target.id);
        if (before) {
            targets.push_back(std::move(m_targets[*before]));
            targets.back().configure(target);
        } else {
            targets.emplace_back(target, m_policy);
        }
    }
    m_targets.swap(targets);
    m_index.clear();
    for (std::size_t index = 0; index < m_targets.size(); ++index)
        m_index.emplace(m_targets[index].id(), index);
}

std::optional<std::size_t> Placement::indexOf(const TargetId &target) const
{
    const auto found = m_index.find(target);
    return found == m_index.end() ? std::nullopt : std::optional(found->second);
}

TargetMask Placement::candidates(const ReserveRequest &request) const
{
    TargetMask mask = 0;
    for (std::size_t index = 0; index < m_targets.size(); ++index) {
        if (!m_targets[index].isLeaving() && m_targets[index].serves(request.model))
            mask |= bitOf(index);
    }
    for (const TargetId &target : request.excluded) {
        if (const std::optional<std::size_t> index = indexOf(target))
            mask &= ~bitOf(*index);
    }
    return mask;
}

std::uint32_t Placement::freeSlotsOf(std::size_t index, const Room &room, Instant now) const
{
    const TargetLedger &target = m_targets[index];
    if (!room.isHandOver)
        return target.freeSlots(room.share, now);
    const std::uint32_t usable = (target.usableSlots(room.share, now) + 1) / 2;
    return usable > target.running() ? usable - target.running() : 0;
}

TargetMask Placement::open(const Room &room, Instant now) const
{
    TargetMask mask = 0;
    for (std::size_t index = 0; index < m_targets.size(); ++index) {
        if (freeSlotsOf(index, room, now) > 0)
            mask |= bitOf(index);
    }
    return mask;
}

std::uint32_t Placement::freeSlots(TargetMask mask, const Room &room, Instant now) const
{
    std::uint32_t slots = 0;
    forEach(mask, [&](std::size_t index) { slots += freeSlotsOf(index, room, now); });
    return slots;
}

std::uint32_t Placement::usableSlots(const Room &room, Instant now) const
{
    std::uint32_t slots = 0;
    for (const TargetLedger &target : m_targets)
        slots += target.usableSlots(room.share, now);
    return slots;
}

std::uint32_t Placement::cachedTokens(std::size_t index, const ReserveRequest &request,
                                      Instant now) const
{
    return m_targets[index].belief().cachedTokens(request.prefixes, m_expiry, now);
}

std::uint32_t Placement::cacheLoss(const ReserveRequest &request, TargetMask candidates,
                                   TargetMask open, Instant now) const
{
    std::uint32_t best = 0;
    std::uint32_t bestOpen = 0;
    forEach(candidates, [&](std::size_t index) {
        const std::uint32_t cached = cachedTokens(index, request, now);
        best = std::max(best, cached);
        if ((open & bitOf(index)) != 0)
            bestOpen = std::max(bestOpen, cached);
    });
    return best - bestOpen;
}

bool Placement::isTrunkKept(const ReserveRequest &request, const Room &room, Instant now) const
{
    // Work of the top tiers often has short patience and can't wait for a slot. A few slots that
    // the lower tiers leave free let it start at once (trunk reservation).
    const bool isUpper = request.tier.rank() * 2 <= m_lowestTier.rank();
    if (isUpper || m_lowestTier.rank() <= 1)
        return false;
    std::uint32_t usable = 0;
    std::uint32_t free = 0;
    for (std::size_t index = 0; index < m_targets.size(); ++index) {
        if (!m_targets[index].serves(request.model))
            continue;
        usable += m_targets[index].usableSlots(room.share, now);
        free += freeSlotsOf(index, room, now);
    }
    return free <= usable / m_policy.trunkDivisor;
}

bool Placement::mayStartLong(const Room &room, Instant now) const
{
    if (!room.keepsShortLane)
        return true;
    // Short work must find a target without a long prefill before it, so one of them stays without.
    const auto busy = std::count_if(m_targets.begin(), m_targets.end(),
                                    [&](const auto &target) { return target.hasLongPrefill(now); });
    const auto limit = std::max<std::size_t>(1, m_targets.size() - 1);
    return static_cast<std::size_t>(busy) < limit;
}

Duration Placement::score(const TargetLedger &target, const Prediction &prediction)
{
    const double waste = static_cast<double>(prediction.prefill.count()) * WastedPrefillCost;
    const double spread = target.occupancy() * OccupancyMicroseconds;
    return prediction.end + Duration(static_cast<Duration::rep>(waste + spread));
}

std::optional<Choice> Placement::choose(const ReserveRequest &request, TargetMask mask,
                                        Duration left, const Room &room, Instant now) const
{
    std::optional<Choice> best;
    Duration bestScore {};
    const auto limit
        = static_cast<Duration::rep>(static_cast<double>(left.count()) * m_policy.patienceMargin);
    if (isTrunkKept(request, room, now))
        return best;
    const std::uint64_t kvTokens = std::uint64_t(request.promptTokens) + request.outputTokens;
    forEach(mask, [&](std::size_t index) {
        const TargetLedger &target = m_targets[index];
        if (freeSlotsOf(index, room, now) == 0 || !target.hasMemoryFor(kvTokens, room.share))
            return;
        const Prediction prediction
            = target.predict(request, cachedTokens(index, request, now), now);
        const bool isLong = target.isLong(prediction.prefill);
        if (prediction.end.count() > limit
            || (isLong && (target.hasLongPrefill(now) || !mayStartLong(room, now))))
            return;
        const Duration score = Placement::score(target, prediction);
        if (!best || score < bestScore) {
            best = Choice {index, prediction, isLong};
            bestScore = score;
        }
    });
    return best;
}

Duration Placement::idleTime(const ReserveRequest &request, TargetMask mask, bool isBase,
                             Instant now) const
{
    Duration shortest = Duration::max();
    forEach(mask, [&](std::size_t index) {
        const std::uint32_t cached = cachedTokens(index, request, now);
        shortest = std::min(shortest, m_targets[index].idleTime(request, cached, isBase, now));
    });
    return shortest;
}

bool Placement::isLong(const ReserveRequest &request, TargetMask mask, Instant now) const
{
    ReserveRequest prefillOnly;
    prefillOnly.promptTokens = request.promptTokens;
    return idleTime(prefillOnly, mask, true, now) > m_policy.longPrefill;
}

} // namespace Apricothook
