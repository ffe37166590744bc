#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <optional>

namespace Apricothook {

/** Tokens whose reading takes as long as an engine's fixed work before a first event. */
constexpr double FixedWorkTokens = 4000;

/** A mean that follows its samples; nothing until the first one. */
class MovingMean
{
public:
    /** Part of a new sample in the mean: about ten samples decide. */
    static constexpr double NewPart = 0.1;

    void add(double sample) { m_mean = m_mean ? *m_mean + NewPart * (sample - *m_mean) : sample; }
    std::optional<double> value() const { return m_mean; }

private:
    std::optional<double> m_mean;
};

/**
 * How fast a target was, from its answers; load reports tell nothing of speed. Plain services are
 * measured by the time to their answer alone.
 */
struct TargetSpeed
{
    /** Milliseconds to the first event, for each token of the prompt and of FixedWorkTokens. */
    MovingMean firstEvent;
    /** Milliseconds between events. */
    MovingMean eventGap;
    /** Milliseconds for which a request holds its slot. */
    MovingMean hold;
    /** Part of the requests that failed at the target, 0 to 1. */
    MovingMean failures;

    void addFirstEvent(std::uint64_t promptTokens, Duration took);
    void addGap(Duration gap);
    void addEnd(Duration held, bool failed);
};

} // namespace Apricothook
