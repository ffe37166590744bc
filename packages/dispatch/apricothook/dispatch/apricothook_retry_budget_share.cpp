#include <apricothook/dispatch/apricothook_retry_budget_share.hpp>

namespace Apricothook {

RetryDecision RetryBudgetShare::tryTake(Instant now, std::optional<std::size_t> daemons)
{
    forgetBefore(now - m_bounds.retryWindow);
    RetryDecision verdict;
    verdict.requests = m_requests.size();
    verdict.retries = m_repeats.size();
    verdict.daemons = daemons.value_or(0);
    const double ofRequests = m_bounds.retryRatio * static_cast<double>(verdict.requests);
    verdict.allowed = UsedPart * (ofRequests + slackPart(daemons, now));
    verdict.isGranted = static_cast<double>(verdict.retries) + 1 <= verdict.allowed;
    if (verdict.isGranted)
        m_repeats.push_back(now);
    return verdict;
}

double RetryBudgetShare::slackPart(std::optional<std::size_t> daemons, Instant now) const
{
    if (!daemons)
        return 0;
    const std::chrono::duration<double> age = now - m_started;
    const std::chrono::duration<double> window = m_bounds.retryWindow;
    const double grown = age < window ? age / window : 1;
    return grown * m_bounds.retrySlack / static_cast<double>(*daemons);
}

void RetryBudgetShare::forgetBefore(Instant start)
{
    for (std::deque<Instant> *times : {&m_requests, &m_repeats}) {
        while (!times->empty() && times->front() < start)
            times->pop_front();
    }
}

} // namespace Apricothook
