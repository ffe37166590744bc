#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <optional>

namespace Apricothook {

/**
 * Number of tokens whose processing takes as long as an engine's fixed work before a first event.
 */
constexpr double FixedWorkTokens = 4000;

/** An exponential moving average; empty until the first sample. */
class MovingAverage
{
public:
    /** Weight of a new sample: about ten samples determine the average. */
    static constexpr double SampleWeight = 0.1;

    void add(double sample)
    {
        m_average = m_average ? *m_average + SampleWeight * (sample - *m_average) : sample;
    }
    std::optional<double> value() const { return m_average; }

private:
    std::optional<double> m_average;
};

/**
 * A target's speed as derived from its answers, since load reports don't contain it. Plain services
 * are measured by the time to their answer alone.
 */
struct TargetSpeed
{
    /** Milliseconds to the first event, per token of the prompt and of FixedWorkTokens. */
    MovingAverage firstEvent;
    /** Milliseconds between events. */
    MovingAverage eventGap;
    /** Milliseconds for which a request occupies its slot. */
    MovingAverage hold;
    /** Fraction of the requests that failed at the target, 0 to 1. */
    MovingAverage failures;

    void addFirstEvent(std::uint64_t promptTokens, Duration took);
    void addGap(Duration gap);
    void addEnd(Duration held, bool failed);
};

} // namespace Apricothook
