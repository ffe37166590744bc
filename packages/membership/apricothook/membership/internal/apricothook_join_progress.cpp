#include <apricothook/membership/apricothook_membership_limits.hpp>
#include <apricothook/membership/internal/apricothook_join_progress.hpp>

#include <algorithm>

namespace Apricothook {

void JoinProgress::start(std::vector<Endpoint> seeds, Instant now)
{
    m_seeds = std::move(seeds);
    m_isReading = !m_seeds.empty();
    m_isJoined = m_seeds.empty();
    m_nextTry = now;
}

void JoinProgress::tried(Instant now, std::uint64_t jitter)
{
    // After a fault that took all daemons they start at once: growing, scattered waits keep the
    // first ones from being flooded.
    constexpr std::uint32_t Doublings = 3;
    const Duration wait = JoinRetry * (1U << std::min(m_tries, Doublings));
    m_nextTry = now + wait + wait * (jitter % 100) / 200;
    ++m_tries;
}

bool JoinProgress::take(const MemberList &list, std::size_t others, Instant now)
{
    m_isJoined = true;
    if (!m_isReading || list.from != m_nextPage)
        return false;
    m_nextPage += static_cast<std::uint32_t>(others);
    m_isReading = others > 0 && m_nextPage < list.total;
    m_tries = 0;
    m_nextTry = now + JoinRetry;
    return m_isReading;
}

} // namespace Apricothook
