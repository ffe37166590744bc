#include <apricothook/steward/internal/apricothook_ended_attempts.hpp>

#include <utility>

namespace Apricothook {

void EndedAttempts::add(const AttemptId &attempt, std::optional<ReserveReply> refusal, Instant now)
{
    if (!m_ended.emplace(attempt, std::move(refusal)).second)
        return;
    m_order.push_back({attempt, now});
    if (m_order.size() > m_policy.endedLimit) {
        m_ended.erase(m_order.front().attempt);
        m_order.pop_front();
    }
}

const ReserveReply *EndedAttempts::refusal(const AttemptId &attempt) const
{
    const auto found = m_ended.find(attempt);
    return found != m_ended.end() && found->second ? &*found->second : nullptr;
}

void EndedAttempts::forgetOld(Instant now)
{
    while (!m_order.empty() && now - m_order.front().at > m_policy.endedKeep) {
        m_ended.erase(m_order.front().attempt);
        m_order.pop_front();
    }
}

} // namespace Apricothook
