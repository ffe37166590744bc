#pragma once

#include <apricothook/model/apricothook_time.hpp>

namespace Apricothook {

/**
 * Whether a target may get work after failures: none for a growing time, then one trial request
 * (half-open), and all again once an answer came.
 */
class TargetHealth
{
public:
    enum class State { Good, Suspended, Trial };

    State state(Instant now) const;
    /** `started`: when the failed work was reserved. */
    void failed(Instant started, Instant now);
    /** The target said that it is full or leaving: a short pause that doesn't grow. */
    void refused(Instant now);
    void answered();
    bool isPaused(Instant now) const { return now < m_pausedUntil; }

private:
    int m_failures = 0;
    Instant m_failedAt {};
    Instant m_suspendedUntil {};
    Instant m_pausedUntil {};
};

} // namespace Apricothook
