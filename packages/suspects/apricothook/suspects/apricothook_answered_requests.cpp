#include <apricothook/suspects/apricothook_answered_requests.hpp>

#include <utility>

namespace Apricothook {

void AnsweredRequests::add(Fingerprint request, Instant now)
{
    if (now - m_currentSince >= RetentionTime || m_current.size() >= GenerationCapacity) {
        m_previous = std::exchange(m_current, {});
        m_currentSince = now;
    }
    m_current.insert(request);
}

bool AnsweredRequests::contains(Fingerprint request) const
{
    return m_current.contains(request) || m_previous.contains(request);
}

} // namespace Apricothook
