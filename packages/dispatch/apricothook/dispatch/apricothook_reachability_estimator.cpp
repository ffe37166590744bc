#include <apricothook/dispatch/apricothook_reachability_estimator.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

/**
 * Reachable fraction up to which nothing is granted, and from which on the full limit is granted.
 */
constexpr double LowestGrantingReach = 0.4;
constexpr double FullGrantingReach = 0.65;

} // namespace

void ReachabilityEstimator::sent(std::uint64_t probe, Instant now)
{
    std::erase_if(m_probes, [now](const auto &entry) {
        return entry.second.sent < now - LongWindow - AnswerTimeout;
    });
    m_probes[probe] = {now, false};
}

void ReachabilityEstimator::answered(std::uint64_t probe)
{
    const auto found = m_probes.find(probe);
    if (found != m_probes.end())
        found->second.isAnswered = true;
}

double ReachabilityEstimator::reachableFraction(std::size_t known, std::size_t daemons,
                                                Instant now) const
{
    const double answered
        = std::min(answeredFraction(ShortWindow, now), answeredFraction(LongWindow, now));
    const auto total = static_cast<double>(std::max(known + 1, daemons));
    return (answered * static_cast<double>(known) + 1) / total;
}

double ReachabilityEstimator::answeredFraction(Duration window, Instant now) const
{
    std::size_t counted = 0;
    std::size_t answered = 0;
    for (const auto &[number, probe] : m_probes) {
        // Among the youngest probes only the answered ones are known; counting them would hide a
        // partition.
        if (probe.sent < now - window - AnswerTimeout || now - probe.sent < AnswerTimeout)
            continue;
        ++counted;
        answered += probe.isAnswered ? 1 : 0;
    }
    if (counted < MinimumProbes)
        return 1;
    return static_cast<double>(answered) / static_cast<double>(counted);
}

double limitFractionOf(double reach)
{
    return std::clamp((reach - LowestGrantingReach) / (FullGrantingReach - LowestGrantingReach),
                      0.0, 1.0);
}

} // namespace Apricothook
