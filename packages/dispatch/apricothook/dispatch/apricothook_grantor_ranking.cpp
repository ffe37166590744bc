#include <apricothook/dispatch/apricothook_grantor_ranking.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <tuple>

namespace Apricothook {

namespace {

std::uint64_t weight(std::uint64_t limit, const LimitPeer &peer)
{
    return rendezvousWeight(limit, peer.member);
}

} // namespace

bool GrantorRanking::isCandidate(const LimitPeer &peer) const
{
    return std::ranges::find(m_candidates, peer.member, &LimitPeer::member) != m_candidates.end();
}

bool GrantorRanking::ranksBefore(const LimitPeer &one, const LimitPeer &other,
                                 std::uint64_t limit) const
{
    const auto rank = [&](const LimitPeer &peer) {
        return std::tuple(isCandidate(peer), weight(limit, peer), peer.member);
    };
    return rank(one) > rank(other);
}

void GrantorRanking::setMembers(std::vector<GrantorCandidate> members)
{
    std::ranges::sort(members, {}, [](const GrantorCandidate &candidate) {
        return std::tuple(~candidate.capacity, candidate.peer.member);
    });
    m_candidates.clear();
    m_leaving.clear();
    for (const GrantorCandidate &candidate : members) {
        std::vector<LimitPeer> &list = candidate.isLeaving ? m_leaving : m_candidates;
        if (list.size() < MaximumCandidates)
            list.push_back(candidate.peer);
    }
}

std::vector<LimitPeer> GrantorRanking::ranked(std::uint64_t limit) const
{
    std::vector<LimitPeer> ranks = m_candidates;
    std::ranges::sort(ranks, std::greater<>(), [limit](const LimitPeer &peer) {
        return std::pair(weight(limit, peer), peer.member);
    });
    return ranks;
}

const LimitPeer *GrantorRanking::highestRanked(std::uint64_t limit) const
{
    const auto best = std::ranges::max_element(m_candidates, {}, [limit](const LimitPeer &peer) {
        return std::pair(weight(limit, peer), peer.member);
    });
    return best == m_candidates.end() ? nullptr : &*best;
}

std::vector<LimitPeer> GrantorRanking::possibleGrantors(std::uint64_t limit,
                                                        std::uint64_t self) const
{
    std::vector<LimitPeer> asked = ranked(limit);
    std::erase_if(asked, [self](const LimitPeer &peer) { return peer.member == self; });
    asked.resize(std::min(asked.size(), MaximumClaimReceivers));
    asked.insert(asked.end(), m_leaving.begin(), m_leaving.end());
    std::erase_if(asked, [self](const LimitPeer &peer) { return peer.member == self; });
    return asked;
}

} // namespace Apricothook
