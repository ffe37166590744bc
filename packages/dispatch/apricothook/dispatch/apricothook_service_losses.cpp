#include <apricothook/dispatch/apricothook_service_losses.hpp>

namespace Apricothook {

void ServiceLosses::recordLoss(const ServiceId &service, Instant now)
{
    // All targets are new in the first list.
    if (now - m_started > FirstList)
        m_lost[service] = now;
}

bool ServiceLosses::isRecent(const std::map<ServiceId, Instant> &times, const ServiceId &service,
                             Instant now)
{
    const auto found = times.find(service);
    return found != times.end() && now - found->second < UnsettledTime;
}

bool ServiceLosses::isUnsettled(const ServiceId &service, Instant remembersSince, Instant now) const
{
    return now - remembersSince < UnsettledAfterStart || isRecent(m_dropped, service, now)
        || isRecent(m_lost, service, now);
}

Instant ServiceLosses::lastLoss(const ServiceId &service) const
{
    const auto found = m_lost.find(service);
    return found == m_lost.end() ? Instant() : found->second;
}

} // namespace Apricothook
