#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <algorithm>

namespace Apricothook {

/** Tokens that fill at a rate up to a burst; one pays for one request. */
class TokenBucket
{
public:
    TokenBucket(double burst, Instant now) : m_tokens(burst), m_filledAt(now) { }

    /** Fills by the time passed at `rate` tokens per second, to at most `burst`. */
    void fill(double rate, double burst, Instant now)
    {
        const double seconds = std::chrono::duration<double>(now - m_filledAt).count();
        m_tokens = std::min(burst, m_tokens + std::max(0.0, seconds) * rate);
        m_filledAt = std::max(m_filledAt, now);
    }
    bool take()
    {
        // A token short by a rounding error counts as whole.
        constexpr double Rounding = 1e-6;
        if (m_tokens + Rounding < 1)
            return false;
        m_tokens = std::max(0.0, m_tokens - 1);
        return true;
    }
    double missing() const { return std::max(0.0, 1 - m_tokens); }

private:
    double m_tokens;
    Instant m_filledAt;
};

} // namespace Apricothook
