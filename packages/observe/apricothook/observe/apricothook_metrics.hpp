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

/** Gauges of the daemon that have no labels. */
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
    ViewAge, ///< In seconds.
    LimitedTargets,
    LostPaths,
    RelaySessions,
    HeldForCallersLimit,
};

/** How an engine processed the prompt tokens sent to it. */
enum class PrefillUse {
    Computed, ///< Computed for an answer that was completed.
    Cached,   ///< Found in the engine's prefix cache.
    Wasted,   ///< Computed for an answer that was never completed.
};

enum class Direction { Sent, Received };

/**
 * The daemon's metrics. Their names are listed in docs/METRICS.md. Thread-safe.
 *
 * The number of series is bounded whatever callers send: there are at most nine tiers,
 * MaximumLabelValues classes and services each and MaximumCustomers customers with label values of
 * their own. All others are counted under "other".
 */
class Metrics
{
public:
    static constexpr std::size_t MaximumCustomers = 32;
    static constexpr std::size_t MaximumLabelValues = 64;

    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** `took`: time from the request's arrival to the end of its answer or its refusal. */
    void requestEnded(const RequestLabels &labels, RequestResult result, Duration took);
    void refused(Tier tier, RefusalReason reason);
    /** `after`: time from the request's arrival to the first byte of its answer. */
    void timeToFirstToken(const RequestLabels &labels, Duration after);
    /** `gap`: time between two tokens of an answer, or the mean of these times. */
    void interTokenLatency(const RequestLabels &labels, Duration gap);
    /** `waited`: time from the request's arrival to its reservation. */
    void queueWait(const RequestLabels &labels, Duration waited);
    void prefill(Tier tier, PrefillUse use, std::uint64_t tokens);
    void set(MetricGauge level, double value);
    void setRing(std::string_view ring, std::size_t items);
    /** `lowest`: the lowest tier that the service admits. */
    void setFloor(const ServiceId &service, Tier lowest);
    /** Counts a decision of the service's retry budget to grant or deny a retry. */
    void retryDecided(const ServiceId &service, bool isGranted);
    /** Counts whether a request that was to be sent to a target got a unit of its limit. */
    void targetUnitDecided(const ServiceId &service, bool isGranted);
    /** Counts a request that may have run and ended without a complete response, by its cause. */
    void responseIncomplete(std::string_view cause);
    /** Counts the time for which the event loop was held up. */
    void loopHeldUp(Duration held);
    /** Counts a second attempt beside that at a silent target, by its outcome. */
    void backupEnded(std::string_view outcome);
    /** Counts a request that was refused since it may crash its target, by what is suspect of it.
     */
    void suspectRefused(std::string_view kind);
    /** Counts a request that goes on with an earlier stream; `origin`: who knew its version. */
    void streamTakenUp(std::string_view origin);
    /** A stream was answered in which two events were further apart than its gap objective. */
    void longPause(const ServiceId &service);
    /** Counts a request that was placed at a target; `cause`: why this daemon could fill the slot.
     */
    void slotFilled(std::string_view cause);
    /** Counts a connection that was closed, or whose request was refused, because of a limit on all
     *  callers together.
     */
    void callerLimited(std::string_view limit, std::string_view cause);
    /** Bytes held for callers, by purpose. */
    void setHeldForCallers(std::string_view purpose, std::uint64_t bytes);
    void controlBytes(Direction direction, std::uint64_t bytes);
    /**
     * Reassigns the per-customer series to the customers with the most traffic. To be called about
     * once a second.
     */
    void updateTopCustomers(Instant now);

    /** All metrics in the Prometheus text format. */
    std::string text() const;

private:
    std::unique_ptr<MetricsTables> m_tables;
};

} // namespace Apricothook
