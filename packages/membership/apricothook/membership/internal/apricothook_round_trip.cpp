#include <apricothook/membership/apricothook_membership_limits.hpp>
#include <apricothook/membership/internal/apricothook_round_trip.hpp>

#include <algorithm>

namespace Apricothook {

void RoundTrip::learn(Duration measured)
{
    if (!m_isKnown) {
        m_isKnown = true;
        m_mean = measured;
        m_deviation = measured / 2;
        return;
    }
    m_deviation += (std::chrono::abs(measured - m_mean) - m_deviation) / 4;
    m_mean += (measured - m_mean) / 8;
}

Duration RoundTrip::timeout() const
{
    if (!m_isKnown)
        return LongestProbeTimeout;
    return std::clamp(m_mean + 4 * m_deviation, ShortestProbeTimeout, LongestProbeTimeout);
}

} // namespace Apricothook
