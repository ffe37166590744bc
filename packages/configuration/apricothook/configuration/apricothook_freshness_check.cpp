#include <apricothook/configuration/apricothook_freshness_check.hpp>

#include <apricothook/configuration/apricothook_member_sample.hpp>

#include <algorithm>

namespace Apricothook {

void FreshnessCheck::ask(Generation own, const MemberView &members, Instant now,
                         RandomSource &random, Outbox &outbox)
{
    if (m_own == own && m_askedAt && now - *m_askedAt < m_limits.askAgain)
        return;
    const auto asked
        = sampleMembers(members, DataCentreId(), Nearness::Anywhere, m_limits.asked, random);
    m_own = own;
    m_askedAt = now;
    m_sequence = random.next() | 1;
    m_needed = std::min(m_limits.needed, members.live().size() - 1);
    m_asked = {asked.begin(), asked.end()};
    m_answered.clear();
    for (const MemberId &member : asked)
        outbox.push_back({member, DigestRequest {m_sequence}});
}

void FreshnessCheck::replied(const MemberId &from, const DigestReply &reply)
{
    m_highest = std::max(m_highest, reply.digest.generation);
    // An answer to an earlier question says nothing of the time since then.
    if (reply.sequence == m_sequence && m_asked.contains(from))
        m_answered.insert(from);
}

std::optional<Instant> FreshnessCheck::freshUntil(Generation own, Instant now) const
{
    if (!m_askedAt || m_own != own || m_highest > own || m_answered.size() < m_needed)
        return std::nullopt;
    const Instant until = *m_askedAt + m_limits.holds;
    return now < until ? std::optional(until) : std::nullopt;
}

} // namespace Apricothook
