#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <map>

namespace Apricothook {

/**
 * Estimates the fraction of the fleet that a grantor reaches, by probes to randomly drawn members.
 * This shows a partition within a second in a fleet of any size, whereas the loss of single members
 * takes longer to detect.
 */
class ReachabilityEstimator
{
public:
    /** Detects a partition quickly, with some two dozen probes at eight per round. */
    static constexpr std::chrono::milliseconds ShortWindow {600};
    /**
     * Its eighty probes vary little by chance, but the end of a partition is detected that much
     * later.
     */
    static constexpr std::chrono::milliseconds LongWindow {2000};
    /** A probe that isn't answered within this time counts as unanswered. */
    static constexpr std::chrono::milliseconds AnswerTimeout {150};
    /** With fewer probes there is no estimate, and the whole fleet counts as reachable. */
    static constexpr std::size_t MinimumProbes = 4;
    /** Members that are probed per round. */
    static constexpr std::size_t ProbesPerRound = 8;

    void sent(std::uint64_t probe, Instant now);
    void answered(std::uint64_t probe);
    /**
     * Reachable fraction of the fleet, 0 to 1: the smaller one of both windows, over this daemon
     * and the `known` others that probes are drawn from. The rest of `daemons`, which this daemon
     * no longer knows, counts as unreachable.
     */
    double reachableFraction(std::size_t known, std::size_t daemons, Instant now) const;

private:
    struct Probe
    {
        Instant sent {};
        bool isAnswered = false;
    };

    double answeredFraction(Duration window, Instant now) const;

    std::map<std::uint64_t, Probe> m_probes;
};

/**
 * Fraction of the customers' limits that a grantor with this reachable fraction may grant. Two
 * sides of a partition together get no more than the whole, less a margin for chance at both. If a
 * third of the fleet doesn't answer, it is assumed to be dead; should it be alive behind a
 * partition, it can use no more than its credit.
 */
double limitFractionOf(double reach);

} // namespace Apricothook
