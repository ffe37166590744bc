#pragma once

#include <algorithm>

namespace Apricothook {

/**
 * Allows attempts after the first as a share of first attempts. Without it, targets that refuse
 * everything would get several times the load just when they can take the least, and the recovery
 * would be a second outage.
 */
class RetryBudget
{
public:
    void firstAttempt() { m_tokens = std::min(MaximumTokens, m_tokens + TokensPerRequest); }

    bool tryRetry()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    static constexpr double TokensPerRequest = 0.1;
    static constexpr double MaximumTokens = 20;
    double m_tokens = MaximumTokens;
};

} // namespace Apricothook
