#include <apricothook/suspects/apricothook_answered_requests.hpp>

#include <utility>

namespace Apricothook {

void AnsweredRequests::add(Fingerprint request, Instant now)
{
    if (now - m_begun >= Memory || m_latest.size() >= MostRemembered) {
        m_before = std::exchange(m_latest, {});
        m_begun = now;
    }
    m_latest.insert(request);
}

bool AnsweredRequests::contains(Fingerprint request) const
{
    return m_latest.contains(request) || m_before.contains(request);
}

} // namespace Apricothook
