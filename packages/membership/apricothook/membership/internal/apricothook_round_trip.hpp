#pragma once

#include <apricothook/model/apricothook_time.hpp>

namespace Apricothook {

/** A time-out learned from round trips, as TCP does it (RFC 6298): mean plus four deviations. */
class RoundTrip
{
public:
    void learn(Duration measured);
    /** Within ShortestProbeTimeout and LongestProbeTimeout. */
    Duration timeout() const;

private:
    Duration m_mean {};
    Duration m_deviation {};
    bool m_isKnown = false;
};

} // namespace Apricothook
