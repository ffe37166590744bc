#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <map>

namespace Apricothook {

/**
 * Which part of the fleet a grantor reaches, from probes to members drawn at random. It shows a
 * partition within a second in a fleet of any size, where word of single members takes longer.
 */
class ReachabilityEstimator
{
public:
    /** Shows a cut soon, with some two dozen probes at eight each round. */
    static constexpr std::chrono::milliseconds ShortWindow {600};
    /** Chance alters its eighty probes little; a cut's end shows that much later. */
    static constexpr std::chrono::milliseconds LongWindow {2000};
    /** A probe that isn't answered by then counts as unanswered. */
    static constexpr std::chrono::milliseconds AnswerTime {150};
    /** Fewer probes tell nothing; the fleet counts as reached. */
    static constexpr std::size_t FewestProbes = 4;
    /** Members that are probed in a round. */
    static constexpr std::size_t ProbesPerRound = 8;

    void sent(std::uint64_t probe, Instant now);
    void answered(std::uint64_t probe);
    /**
     * 0 to 1, this daemon counted with the `known` others that probes are drawn from; the lesser of
     * what both windows show. Those of `daemons` that it no longer knows aren't reached.
     */
    double reachableFraction(std::size_t known, std::size_t daemons, Instant now) const;

private:
    struct Probe
    {
        Instant sent {};
        bool isAnswered = false;
    };

    double reachWithin(Duration window, Instant now) const;

    std::map<std::uint64_t, Probe> m_probes;
};

/**
 * Part of customers' limits that a grantor may give out that reaches so much of the fleet. Two
 * sides of a partition together have no more than the whole, less what chance may add to both. A
 * third that doesn't answer is taken for dead: if it lives cut off, it has no more than its credit.
 */
double limitFractionOf(double reach);

} // namespace Apricothook
