#include <apricothook/steward/internal/apricothook_target_health.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr Duration FirstSuspension = std::chrono::milliseconds(500);
constexpr Duration LongestSuspension = std::chrono::seconds(30);
constexpr Duration RefusalPause = std::chrono::milliseconds(200);
constexpr int MostDoublings = 6;

} // namespace

TargetHealth::State TargetHealth::state(Instant now) const
{
    if (m_failures == 0)
        return State::Good;
    return now < m_suspendedUntil ? State::Suspended : State::Trial;
}

void TargetHealth::failed(Instant started, Instant now)
{
    // One crash ends all that ran there. Work from before the last failure tells nothing new; if it
    // counted, one crash under ten requests would suspend the target for the longest time.
    if (m_failures > 0 && started <= m_failedAt)
        return;
    m_failedAt = now;
    const Duration suspension = FirstSuspension * (1 << std::min(m_failures, MostDoublings));
    m_suspendedUntil = now + std::min(suspension, LongestSuspension);
    ++m_failures;
}

void TargetHealth::refused(Instant now)
{
    m_pausedUntil = now + RefusalPause;
}

void TargetHealth::answered()
{
    m_failures = 0;
    m_pausedUntil = Instant();
}

} // namespace Apricothook
