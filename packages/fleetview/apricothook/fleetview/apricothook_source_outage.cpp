#include <apricothook/fleetview/apricothook_source_outage.hpp>

namespace Apricothook {

void SourceOutage::note(const SourceContact &contact, Instant now)
{
    if (!contact.someReach && contact.someLost) {
        m_since = m_since.value_or(now);
        return;
    }
    if (lasts(now))
        m_ended = now;
    m_since.reset();
}

Instant SourceOutage::doubtUntil(Instant now) const
{
    if (lasts(now))
        return now + RegisterAgainTime;
    return m_ended ? *m_ended + RegisterAgainTime : Instant::min();
}

} // namespace Apricothook
