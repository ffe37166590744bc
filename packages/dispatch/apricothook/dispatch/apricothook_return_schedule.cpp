#include <apricothook/dispatch/apricothook_return_schedule.hpp>

#include <apricothook/dispatch/apricothook_dispatcher.hpp>

#include <algorithm>
#include <numeric>

namespace Apricothook {

ScheduledReturn ReturnSchedule::schedule(double units, Duration untilAvailable, double perSecond,
                                         Instant now)
{
    if (perSecond <= 0)
        return {untilAvailable, 0};
    const double promised = promisedUnits(now);
    const auto forOthers
        = std::chrono::ceil<Duration>(std::chrono::duration<double>(promised / perSecond));
    const Duration wait = untilAvailable + forOthers;
    const std::chrono::duration<double> longest = Dispatcher::LongestRetryAfter;
    if (promised + units <= perSecond * longest.count()) {
        if (m_slices.empty()) {
            m_slices.resize(Dispatcher::LongestRetryAfter / SliceLength + 2);
            m_first = sliceAt(now);
        }
        // The caller is told a time within these bounds.
        const Duration told
            = std::clamp<Duration>(wait, ShortestReturn, Dispatcher::LongestRetryAfter);
        unitsOf(sliceAt(now + told)) += units;
    }
    return {wait, promised};
}

double ReturnSchedule::promisedUnits(Instant now)
{
    expire(now);
    return std::accumulate(m_slices.begin(), m_slices.end(), 0.0);
}

double &ReturnSchedule::unitsOf(std::int64_t slice)
{
    return m_slices[static_cast<std::size_t>(slice) % m_slices.size()];
}

void ReturnSchedule::expire(Instant now)
{
    if (m_slices.empty())
        return;
    const std::int64_t current = sliceAt(now);
    const auto length = static_cast<std::int64_t>(m_slices.size());
    for (m_first = std::max(m_first, current - length); m_first < current; ++m_first)
        unitsOf(m_first) = 0;
}

} // namespace Apricothook
