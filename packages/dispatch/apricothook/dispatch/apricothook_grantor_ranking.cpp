#include <apricothook/dispatch/apricothook_grantor_ranking.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <tuple>

namespace Apricothook {

namespace {

std::uint64_t weight(std::uint64_t customer, const LimitPeer &peer)
{
    return rendezvousWeight(customer, peer.member);
}

} // namespace

bool GrantorOrder::isCandidate(const LimitPeer &peer) const
{
    return std::ranges::find(m_staying, peer.member, &LimitPeer::member) != m_staying.end();
}

bool GrantorOrder::isBefore(const LimitPeer &one, const LimitPeer &other,
                            std::uint64_t customer) const
{
    const auto rank = [&](const LimitPeer &peer) {
        return std::tuple(isCandidate(peer), weight(customer, peer), peer.member);
    };
    return rank(one) > rank(other);
}

void GrantorOrder::setMembers(std::vector<GrantorCandidate> members)
{
    std::ranges::sort(members, {}, [](const GrantorCandidate &candidate) {
        return std::tuple(~candidate.capacity, candidate.peer.member);
    });
    m_staying.clear();
    m_leaving.clear();
    for (const GrantorCandidate &candidate : members) {
        std::vector<LimitPeer> &list = candidate.isLeaving ? m_leaving : m_staying;
        if (list.size() < MostCandidates)
            list.push_back(candidate.peer);
    }
}

std::vector<LimitPeer> GrantorOrder::ranks(std::uint64_t customer) const
{
    std::vector<LimitPeer> ranks = m_staying;
    std::ranges::sort(ranks, std::greater<>(), [customer](const LimitPeer &peer) {
        return std::pair(weight(customer, peer), peer.member);
    });
    return ranks;
}

const LimitPeer *GrantorOrder::first(std::uint64_t customer) const
{
    const auto best = std::ranges::max_element(m_staying, {}, [customer](const LimitPeer &peer) {
        return std::pair(weight(customer, peer), peer.member);
    });
    return best == m_staying.end() ? nullptr : &*best;
}

std::vector<LimitPeer> GrantorOrder::incumbents(std::uint64_t customer, std::uint64_t self) const
{
    std::vector<LimitPeer> asked = ranks(customer);
    std::erase_if(asked, [self](const LimitPeer &peer) { return peer.member == self; });
    asked.resize(std::min(asked.size(), MostAskedToHandOver));
    asked.insert(asked.end(), m_leaving.begin(), m_leaving.end());
    std::erase_if(asked, [self](const LimitPeer &peer) { return peer.member == self; });
    return asked;
}

} // namespace Apricothook
