#include <apricothook/dispatch/apricothook_longest_response_times.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

LongestResponseTimes::Samples &LongestResponseTimes::samplesOf(const ClassId &route, Instant now)
{
    if (now - m_since >= Window) {
        const bool isRecent = now - m_since < 2 * Window;
        m_previous = isRecent ? std::move(m_current) : Routes();
        m_current.clear();
        m_since = now;
    }
    return m_current[route];
}

void LongestResponseTimes::recordComplete(const ClassId &route, Duration taken, Instant now)
{
    Samples &samples = samplesOf(route, now);
    ++samples.count;
    samples.longest = std::max(samples.longest, taken);
}

void LongestResponseTimes::recordIncomplete(const ClassId &route, Duration taken, Instant now)
{
    Samples &samples = samplesOf(route, now);
    samples.longest = std::max(samples.longest, taken);
}

void LongestResponseTimes::add(Samples &sum, const Routes &routes, const ClassId &route)
{
    const auto found = routes.find(route);
    if (found == routes.end())
        return;
    sum.count += found->second.count;
    sum.longest = std::max(sum.longest, found->second.longest);
}

std::optional<Duration> LongestResponseTimes::longest(const ClassId &route, Instant now) const
{
    Samples sum;
    if (now - m_since < 2 * Window)
        add(sum, m_current, route);
    if (now - m_since < Window)
        add(sum, m_previous, route);
    if (sum.count < FewestSamples)
        return std::nullopt;
    return sum.longest;
}

} // namespace Apricothook
