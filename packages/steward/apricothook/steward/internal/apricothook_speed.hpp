#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <array>
#include <cstdint>

namespace Apricothook {

/** What one answer taught about a target. */
struct SpeedSample
{
    /** Prompt tokens worked on until the first byte, those queued before it included. */
    std::uint64_t prefillTokens = 0;
    /** Little of them was others' prefill, which is only known as it was believed. */
    bool isOwnPrefill = true;
    std::uint32_t outputTokens = 0;
    std::uint32_t batch = 1;
    Duration firstByte {};
    Duration streaming {};
    /** What was predicted at the reservation, without the straggler factor. */
    Duration predicted {};
};

/**
 * The speed of one target, learned from answers; the text's hints count until there are some.
 *
 * The rates follow slowly: they are what the target can do. The straggler factor follows fast: it
 * is observed over predicted time, so that a target that slows down without warning is found out
 * within a few answers, and its learned rates aren't spoilt by a short trouble.
 */
class Speed
{
public:
    Speed(double prefillHint, double decodeHint);
    /** Tokens per second. */
    double prefillRate() const { return m_prefillRate; }
    /** Tokens per second of one answer while `batch` answers are under way. */
    double decodeRate(std::uint32_t batch) const;
    /** Time of one call of a plain service. */
    Duration callTime() const { return m_callTime; }
    bool isPlain() const { return m_isPlain; }
    /** Observed over predicted time; drifts back to 1 while the target has no work. */
    double factor(Instant now, bool hasWork) const;
    void learn(const SpeedSample &sample, Instant now);
    /** Work is overdue: it has taken `ratio` times its prediction and isn't there yet. */
    void overdue(double ratio, Instant now);

private:
    static constexpr std::size_t Buckets = 8;
    static std::size_t bucketOf(std::uint32_t batch);
    void learnRates(const SpeedSample &sample);

    bool m_isPlain;
    double m_prefillRate;
    double m_prefillHint;
    double m_decodeHint;
    /** By the logarithm of the batch; 0 where nothing was learned. */
    std::array<double, Buckets> m_decodeRates {};
    Duration m_callTime;
    double m_factor = 1.0;
    Instant m_factorAt {};
};

} // namespace Apricothook
