#include <apricothook/dispatch/apricothook_retry_budget_share.hpp>

namespace Apricothook {

RetryDecision RetryBudgetShare::check(Instant now, std::optional<std::size_t> daemons)
{
    dropBefore(now - m_bounds.retryWindow);
    RetryDecision decision;
    decision.requests = m_requests.size();
    decision.retries = m_retries.size();
    decision.daemons = daemons.value_or(0);
    const double requestShare = m_bounds.retryRatio * static_cast<double>(decision.requests);
    decision.allowed = UsedFraction * (requestShare + slackShare(daemons, now));
    decision.isGranted = static_cast<double>(decision.retries) + 1 <= decision.allowed;
    return decision;
}

RetryDecision RetryBudgetShare::tryTake(Instant now, std::optional<std::size_t> daemons)
{
    const RetryDecision decision = check(now, daemons);
    if (decision.isGranted)
        m_retries.push_back(now);
    return decision;
}

double RetryBudgetShare::slackShare(std::optional<std::size_t> daemons, Instant now) const
{
    if (!daemons)
        return 0;
    const std::chrono::duration<double> age = now - m_started;
    const std::chrono::duration<double> window = m_bounds.retryWindow;
    const double growth = age < window ? age / window : 1;
    return growth * m_bounds.retrySlack / static_cast<double>(*daemons);
}

void RetryBudgetShare::dropBefore(Instant start)
{
    for (std::deque<Instant> *times : {&m_requests, &m_retries}) {
        while (!times->empty() && times->front() < start)
            times->pop_front();
    }
}

} // namespace Apricothook
