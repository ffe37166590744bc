#pragma once

#include <apricothook/model/apricothook_refusal.hpp>
#include <apricothook/model/apricothook_time.hpp>
#include <apricothook/observe/apricothook_request_labels.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Apricothook {

class MetricsTables;

/** A value that goes up and down. */
enum class MetricGauge {
    Generation,
    LiveMembers,
    CallerConnections,
    CallerExchanges,
    HeldBodyBytes,
    WaitingRequests,
    RunningRequests,
    KeptKeys,
    KeptAnswerBytes,
    EvacuatedTargets,
    ColdTargets,
};

/** What became of prompt tokens that were sent to an engine. */
enum class PrefillUse {
    Computed, ///< Worked out by an engine for an answer that was whole.
    Cached,   ///< Found in the engine's prefix cache.
    Wasted,   ///< Worked out for an answer that never became whole.
};

enum class Direction { Sent, Received };

/**
 * What the daemon measures of itself; the names are in docs/METRICS.md. Safe to use from any
 * thread.
 *
 * The number of series is bounded whatever callers send: tiers are nine at most, classes and
 * services get MaximumNames names of their own and customers CustomerPlaces; all others share
 * "other".
 */
class Metrics
{
public:
    static constexpr std::size_t CustomerPlaces = 32;
    static constexpr std::size_t MaximumNames = 64;

    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** `took` from the request's arrival to the end of its answer or refusal. */
    void requestEnded(const RequestLabels &labels, RequestResult result, Duration took);
    void refused(Tier tier, RefusalReason reason);
    /** From the request's arrival to the first byte of its answer. */
    void timeToFirstToken(const RequestLabels &labels, Duration after);
    /** The mean gap of an answer's tokens, or a single gap. */
    void interTokenLatency(const RequestLabels &labels, Duration gap);
    /** From arrival to reservation. */
    void queueWait(const RequestLabels &labels, Duration waited);
    void prefill(Tier tier, PrefillUse use, std::uint64_t tokens);
    void set(MetricGauge level, double value);
    void setRing(std::string_view ring, std::size_t items);
    /** The lowest tier that a service admits. */
    void setFloor(const ServiceId &service, Tier lowest);
    /** A request to the service would be sent again: the retry budget grants it or not. */
    void retryDecided(const ServiceId &service, bool isGranted);
    void controlBytes(Direction direction, std::uint64_t bytes);
    /** Call about once a second: gives places to the customers with the most traffic. */
    void updateTopCustomers(Instant now);

    /** The text format of Prometheus. */
    std::string text() const;

private:
    std::unique_ptr<MetricsTables> m_tables;
};

} // namespace Apricothook
