#include <apricothook/dispatch/apricothook_retry_allowance.hpp>

namespace Apricothook {

RetryVerdict RetryAllowance::tryTake(Instant now, std::optional<std::size_t> daemons)
{
    forgetBefore(now - m_bounds.retryWindow);
    RetryVerdict verdict;
    verdict.requests = m_requests.size();
    verdict.repeats = m_repeats.size();
    verdict.daemons = daemons.value_or(0);
    const double share = daemons ? m_bounds.retrySlack / static_cast<double>(*daemons) : 0;
    verdict.allowed
        = UsedPart * (m_bounds.retryRatio * static_cast<double>(verdict.requests) + share);
    verdict.isGranted = static_cast<double>(verdict.repeats) + 1 <= verdict.allowed;
    if (verdict.isGranted)
        m_repeats.push_back(now);
    return verdict;
}

void RetryAllowance::forgetBefore(Instant start)
{
    for (std::deque<Instant> *times : {&m_requests, &m_repeats}) {
        while (!times->empty() && times->front() < start)
            times->pop_front();
    }
}

} // namespace Apricothook
