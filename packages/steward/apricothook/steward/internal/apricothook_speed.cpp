#include <apricothook/steward/internal/apricothook_speed.hpp>

#include <algorithm>
#include <bit>
#include <cmath>

namespace Apricothook {

namespace {

constexpr double RateWeight = 0.1;
constexpr double FactorWeight = 0.3;
constexpr double LowestFactor = 0.5;
constexpr double HighestFactor = 20.0;
/** Learned rates stay within this many times the hint, so that one wild sample can't ruin them. */
constexpr double RateBound = 50.0;
/** Fewer tokens than this measure the overhead, not the rate. */
constexpr std::uint64_t LeastPrefillTokens = 128;
constexpr std::uint32_t LeastOutputTokens = 8;
constexpr double FactorHalfLifeSeconds = 10.0;
/** Added to both times before they are compared: small differences of short work mean nothing. */
constexpr double NoiseSeconds = 0.05;
constexpr Duration FirstCallTime = std::chrono::milliseconds(50);
constexpr double FallbackPrefillRate = 2000;
constexpr double FallbackDecodeRate = 20;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double moved(double value, double towards, double weight)
{
    return value + weight * (towards - value);
}

} // namespace

Speed::Speed(double prefillHint, double decodeHint)
    : m_isPlain(prefillHint <= 0 && decodeHint <= 0)
    , m_prefillRate(prefillHint > 0 ? prefillHint : FallbackPrefillRate)
    , m_prefillHint(m_prefillRate)
    , m_decodeHint(decodeHint > 0 ? decodeHint : FallbackDecodeRate)
    , m_callTime(FirstCallTime)
{
}

std::size_t Speed::bucketOf(std::uint32_t batch)
{
    const auto width = static_cast<std::size_t>(std::bit_width(std::max(batch, 1U) - 1));
    return std::min(width, Buckets - 1);
}

double Speed::decodeRate(std::uint32_t batch) const
{
    const std::size_t bucket = bucketOf(batch);
    for (std::size_t distance = 0; distance < Buckets; ++distance) {
        // A larger batch first: its rate errs on the slow side.
        if (bucket + distance < Buckets && m_decodeRates[bucket + distance] > 0)
            return m_decodeRates[bucket + distance];
        if (distance <= bucket && m_decodeRates[bucket - distance] > 0)
            return m_decodeRates[bucket - distance];
    }
    return m_decodeHint;
}

double Speed::factor(Instant now, bool hasWork) const
{
    if (hasWork || m_factor <= 1.0)
        return m_factor;
    // A straggler that gets no work could never show that it has recovered. So belief in its
    // slowness fades while it idles, until it wins a request again and is measured by it.
    const double idle = secondsOf(std::chrono::duration_cast<Duration>(now - m_factorAt));
    return 1.0 + (m_factor - 1.0) * std::exp2(-std::max(idle, 0.0) / FactorHalfLifeSeconds);
}

void Speed::learn(const SpeedSample &sample, Instant now)
{
    const double observed = secondsOf(sample.firstByte + sample.streaming) + NoiseSeconds;
    const double ratio = observed / (secondsOf(sample.predicted) + NoiseSeconds);
    const double bounded = std::clamp(ratio, LowestFactor, HighestFactor);
    m_factor = moved(factor(now, false), bounded, FactorWeight);
    m_factorAt = now;
    learnRates(sample);
}

void Speed::learnRates(const SpeedSample &sample)
{
    const double first = secondsOf(sample.firstByte);
    const double streaming = secondsOf(sample.streaming);
    if (m_isPlain) {
        const double call = moved(secondsOf(m_callTime), first + streaming, RateWeight);
        m_callTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(call));
        return;
    }
    // Prefill of others that was wrongly believed to be cached, or not to be, would be taken for a
    // slower or faster engine, and then too little or too much would be sent there.
    if (sample.isOwnPrefill && sample.prefillTokens >= LeastPrefillTokens && first > 0) {
        const double rate = static_cast<double>(sample.prefillTokens) / first;
        m_prefillRate = std::clamp(moved(m_prefillRate, rate, RateWeight),
                                   m_prefillHint / RateBound, m_prefillHint * RateBound);
    }
    if (sample.outputTokens >= LeastOutputTokens && streaming > 0) {
        const double rate = (sample.outputTokens - 1) / streaming;
        double &learned = m_decodeRates[bucketOf(sample.batch)];
        const double before = learned > 0 ? learned : m_decodeHint;
        learned = std::clamp(moved(before, rate, RateWeight), m_decodeHint / RateBound,
                             m_decodeHint * RateBound);
    }
}

void Speed::overdue(double ratio, Instant now)
{
    m_factor = std::max(m_factor, std::min(ratio, HighestFactor));
    m_factorAt = now;
}

} // namespace Apricothook
