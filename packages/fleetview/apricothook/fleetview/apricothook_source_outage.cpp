#include <apricothook/fleetview/apricothook_source_outage.hpp>

namespace Apricothook {

void SourceOutage::note(const SourceReachability &contact, Instant now)
{
    if (!contact.anyReachable && contact.anyFailed) {
        m_since = m_since.value_or(now);
        return;
    }
    if (isOngoing(now))
        m_ended = now;
    m_since.reset();
}

Instant SourceOutage::removalsUncertainUntil(Instant now) const
{
    if (isOngoing(now))
        return now + ReregistrationTime;
    return m_ended ? *m_ended + ReregistrationTime : Instant::min();
}

} // namespace Apricothook
