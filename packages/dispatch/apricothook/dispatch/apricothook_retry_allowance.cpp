#include <apricothook/dispatch/apricothook_retry_allowance.hpp>

#include <algorithm>

namespace Apricothook {

bool RetryAllowance::tryTake(Instant now, std::size_t daemons)
{
    forgetBefore(now - m_bounds.retryWindow);
    const double share
        = m_bounds.retrySlack / static_cast<double>(std::max<std::size_t>(daemons, 1));
    const double allowed
        = UsedPart * (m_bounds.retryRatio * static_cast<double>(m_requests.size()) + share);
    if (static_cast<double>(m_repeats.size()) + 1 > allowed)
        return false;
    m_repeats.push_back(now);
    return true;
}

void RetryAllowance::forgetBefore(Instant start)
{
    for (std::deque<Instant> *times : {&m_requests, &m_repeats}) {
        while (!times->empty() && times->front() < start)
            times->pop_front();
    }
}

} // namespace Apricothook
