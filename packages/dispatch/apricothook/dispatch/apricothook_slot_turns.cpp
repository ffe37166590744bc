#include <apricothook/dispatch/apricothook_slot_turns.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

Instant SlotTurns::opensAt(std::uint64_t target, std::uint32_t freeSlots, Instant freeSince,
                           const std::vector<std::uint64_t> &contenders,
                           std::uint32_t ownFills) const
{
    const auto weight = [target](std::uint64_t member) {
        return std::pair(rendezvousWeight(target, member), member);
    };
    const auto own = weight(m_self);
    const auto position = static_cast<std::uint32_t>(std::ranges::count_if(
        contenders, [&](std::uint64_t member) { return weight(member) > own; }));
    const auto daemons = static_cast<std::uint32_t>(contenders.size()) + 1;
    const std::uint32_t before = position + ownFills * daemons;
    const std::uint32_t slots = freeSlots + ownFills;
    const std::uint32_t turns = before < slots ? 0 : before - slots + 1;
    return freeSince + TurnLength * turns;
}

} // namespace Apricothook
