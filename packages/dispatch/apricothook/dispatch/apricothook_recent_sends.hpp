#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <deque>

namespace Apricothook {

/**
 * Times at which this daemon sent requests to one target, as long as a per-second limit needs them.
 */
class RecentSends
{
public:
    static constexpr std::chrono::seconds Window {1};

    void add(Instant now)
    {
        dropExpired(now);
        m_times.push_back(now);
    }
    /** Number of sends in the window that ends now. */
    std::uint32_t count(Instant now) const
    {
        std::uint32_t sends = 0;
        for (auto time = m_times.rbegin(); time != m_times.rend() && isWithin(*time, now); ++time)
            ++sends;
        return sends;
    }

private:
    static bool isWithin(Instant time, Instant now) { return now - time <= Window; }
    void dropExpired(Instant now)
    {
        while (!m_times.empty() && !isWithin(m_times.front(), now))
            m_times.pop_front();
    }

    std::deque<Instant> m_times;
};

} // namespace Apricothook
