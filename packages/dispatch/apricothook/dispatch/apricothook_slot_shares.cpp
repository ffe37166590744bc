#include <apricothook/dispatch/apricothook_slot_shares.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

bool SlotShares::setMembers(std::vector<std::uint64_t> members, Duration settling, Instant now)
{
    if (members == m_members)
        return false;
    m_earlier.push_back({std::exchange(m_members, std::move(members)), now + settling});
    return true;
}

bool SlotShares::review(Instant now)
{
    return std::erase_if(m_earlier,
                         [now](const EarlierMembers &earlier) { return earlier.until <= now; })
        > 0;
}

std::uint32_t SlotShares::share(std::uint64_t target, std::uint32_t slots) const
{
    std::uint32_t share = shareAmong(m_members, target, slots);
    for (const EarlierMembers &earlier : m_earlier)
        share = std::min(share, shareAmong(earlier.members, target, slots));
    return share;
}

std::uint32_t SlotShares::shareAmong(const std::vector<std::uint64_t> &members,
                                     std::uint64_t target, std::uint32_t slots) const
{
    if (std::ranges::find(members, m_self) == members.end())
        return 0;
    const auto weight = [target](std::uint64_t member) {
        return std::pair(rendezvousWeight(target, member), member);
    };
    const auto before = static_cast<std::uint32_t>(std::ranges::count_if(
        members, [&](std::uint64_t member) { return weight(member) > weight(m_self); }));
    const auto daemons = static_cast<std::uint32_t>(members.size());
    return slots / daemons + (before < slots % daemons ? 1 : 0);
}

} // namespace Apricothook
