#include <apricothook/homes/apricothook_run_hints.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <functional>

namespace Apricothook {

namespace {

constexpr std::size_t Witnesses = 2;

struct Candidate
{
    bool isElsewhere = false;
    std::uint64_t weight = 0;
    MemberId member;
    auto operator<=>(const Candidate &) const = default;
};

} // namespace

std::vector<MemberId> witnessesOf(const RequestKey &key, const RosterEntry &near,
                                  const MemberView &members)
{
    std::vector<Candidate> candidates;
    for (const MemberUpdate &member : members.live()) {
        const MemberId &id = member.instance.member;
        if (id != near.id)
            candidates.push_back({member.dataCentre != near.dataCentre,
                                  rendezvousWeight(key.text(), id.text()), id});
    }
    const std::size_t count = std::min(Witnesses, candidates.size());
    std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count),
                              std::greater<>());
    std::vector<MemberId> witnesses;
    for (std::size_t i = 0; i < count; ++i)
        witnesses.push_back(candidates[i].member);
    return witnesses;
}

void RunHints::keep(const RunHint &hint, Instant now)
{
    expire(now);
    const auto [kept, isNew]
        = m_hints.insert_or_assign(hint.key, Kept {hint, now + hint.remaining});
    if (isNew)
        m_order.push_back(kept->first);
    if (m_order.size() > MaximumHints) {
        m_hints.erase(m_order.front());
        m_order.pop_front();
    }
}

HintReply RunHints::answer(const HintQuery &query, Instant now) const
{
    HintReply reply {query.sequence, query.key, {}};
    const auto found = m_hints.find(query.key);
    const bool isKnown = found != m_hints.end() && now < found->second.until
        && found->second.hint.fingerprint == query.fingerprint;
    if (isKnown)
        reply.target = found->second.hint.target;
    return reply;
}

void RunHints::expire(Instant now)
{
    while (!m_order.empty()) {
        const auto oldest = m_hints.find(m_order.front());
        if (oldest != m_hints.end() && now < oldest->second.until)
            return;
        if (oldest != m_hints.end())
            m_hints.erase(oldest);
        m_order.pop_front();
    }
}

} // namespace Apricothook
