#include <apricothook/configuration/apricothook_join_barrier.hpp>

#include <algorithm>

namespace Apricothook {

JoinBarrier::JoinBarrier(const ConfigurationLimits &limits, std::size_t seeds, Instant start)
    : m_limits(limits), m_seeds(seeds), m_end(start + limits.joinPatience)
{
}

void JoinBarrier::platformAnswered(bool isReachable)
{
    if (isReachable)
        m_platform = Platform::Answered;
    else if (m_platform == Platform::Asked)
        m_platform = Platform::Failed;
}

void JoinBarrier::peerAnswered(const MemberId &member, bool isConfigured)
{
    if (isConfigured)
        m_configured.insert(member);
}

bool JoinBarrier::hasEnoughPeers(std::size_t others) const
{
    // Right after the start the view holds this daemon alone; the seeds say that there are others.
    // Without them "all known members answered" would be true before anyone was asked.
    const std::size_t known = std::max(others, m_seeds);
    return m_configured.size() >= std::min(m_limits.joinPeers, known);
}

bool JoinBarrier::isOpen(std::size_t others, Instant now) const
{
    if (now >= m_end)
        return m_platform == Platform::Answered || !m_configured.empty();
    return m_platform != Platform::Asked && hasEnoughPeers(others);
}

} // namespace Apricothook
