#include <apricothook/dispatch/apricothook_reachability_estimator.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

/** Reach up to which nothing is given out, and from which on all is. */
constexpr double SmallestSide = 0.4;
constexpr double LargestSide = 0.65;

} // namespace

void ReachabilityEstimator::sent(std::uint64_t probe, Instant now)
{
    std::erase_if(m_probes, [now](const auto &entry) {
        return entry.second.sent < now - LongWindow - AnswerTime;
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
    const double answered = std::min(reachWithin(ShortWindow, now), reachWithin(LongWindow, now));
    const auto all = static_cast<double>(std::max(known + 1, daemons));
    return (answered * static_cast<double>(known) + 1) / all;
}

double ReachabilityEstimator::reachWithin(Duration window, Instant now) const
{
    std::size_t counted = 0;
    std::size_t answered = 0;
    for (const auto &[number, probe] : m_probes) {
        // Answers of the youngest come first; to count them alone would hide a cut.
        if (probe.sent < now - window - AnswerTime || now - probe.sent < AnswerTime)
            continue;
        ++counted;
        answered += probe.isAnswered ? 1 : 0;
    }
    if (counted < FewestProbes)
        return 1;
    return static_cast<double>(answered) / static_cast<double>(counted);
}

double limitFractionOf(double reach)
{
    return std::clamp((reach - SmallestSide) / (LargestSide - SmallestSide), 0.0, 1.0);
}

} // namespace Apricothook
