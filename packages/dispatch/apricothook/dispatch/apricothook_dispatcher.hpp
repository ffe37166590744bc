#pragma once

#include <apricothook/dispatch/apricothook_target_table.hpp>

#include <map>
#include <set>
#include <vector>

namespace Apricothook {

/** Priority of a request: the customer's tier is compared first, then the route's tier. */
struct RequestRank
{
    Tier customer;
    Tier route;

    bool isAbove(const RequestRank &other) const { return *this < other; }
    auto operator<=>(const RequestRank &) const = default;
};

/** A queued request that needs a target. */
struct QueuedRequest
{
    ExchangeId exchange;
    ServiceId service;
    RequestRank rank;
    RequestSize size;
    Instant arrived {};
    Duration objective {};
    /** Time by which the final answer must be sent. */
    Instant deadline {};
    TargetConstraint constraint;
};

/** Requests of one rank that are queued for a service at one member; part of its heartbeat. */
struct QueueLength
{
    std::uint64_t service = 0; ///< serviceHash() of the service's name.
    RequestRank rank;
    std::uint32_t waiting = 0;

    auto operator<=>(const QueueLength &) const = default;
};

std::uint64_t serviceHash(const ServiceId &service);

/** The data on which a refusal is based. */
struct RefusalDetails
{
    ServiceCapacity capacity;
    RequestRank rank;
    /** Requests ahead of this one in the queues of all daemons, as far as known. */
    std::uint32_t ahead = 0;
    Duration expectedWait {};
    /** Time after which the caller should retry. */
    Duration retryAfter {};
};

/** Receives the decisions about queued requests. onPlaced() must not call the dispatcher. */
class DispatchListener
{
public:
    virtual ~DispatchListener() = default;
    virtual void onPlaced(ExchangeId exchange, const TargetEntry &target, const SlotFill &fill) = 0;
    /** No target will have a free slot in time. */
    virtual void onRefused(ExchangeId exchange, const RefusalDetails &details) = 0;
};

/**
 * Decides when a queued request is sent, and to which target.
 *
 * Engines serve requests in order of arrival, so a request that is queued at an engine can't be
 * overtaken by a more important one. Requests are queued here instead and sent to a target only
 * when one of its slots is believed to be free across all daemons. The load of other daemons is
 * known from their heartbeats, which are some tens of milliseconds old. If two daemons take the
 * same slot, the only cost is a short wait at the engine.
 */
class Dispatcher
{
public:
    /** Largest fraction of its total time for which a request is queued. */
    static constexpr double LongestQueueFraction = 0.33;
    /**
     * Latest time of an answer's first byte, in multiples of the objective. Callers of streams give
     * up after about four objectives without an event, and a request whose caller has left was
     * queued for nothing.
     */
    static constexpr double LongestTimeToFirstByte = 1.0;
    /** Shortest time after which a refused caller is asked to retry. */
    static constexpr std::chrono::milliseconds ShortestRetryAfter {200};
    /**
     * Latest time at which a refused caller retries, as a fraction of its remaining time; callers
     * honour no longer delay. High load lasts for seconds, while the wait derived from the queue's
     * length is some tenths of a second: callers that retried after it were refused again, and
     * callers retry once. With the latest time the share of unserved requests fell from 0.064 to
     * 0.053 over 18 benchmark runs of three small fleets at high load, and from 0.103 to 0.087 over
     * six runs of three large ones.
     */
    static constexpr double LatestRetryFraction = 1.0 / 3;
    /**
     * Surges seldom last longer, so callers with minutes of time left aren't sent away for minutes.
     */
    static constexpr std::chrono::seconds LongestRetryAfter {5};

    Dispatcher(TargetTable &targets, DispatchListener &listener,
               const PolicySwitches &policies = {})
        : m_targets(targets), m_listener(listener), m_policies(policies)
    {
    }

    /** Places the request at once, queues it, or refuses it. */
    void submit(QueuedRequest request, Instant now);
    /** Removes the request from its queue; does nothing if it isn't queued. */
    void cancel(ExchangeId exchange);
    /**
     * Places the requests for which there is capacity and refuses those that have waited too long.
     */
    void review(Instant now);
    void setMemberQueueLengths(std::uint64_t member, std::vector<QueueLength> counts);
    std::vector<QueueLength> ownQueueLengths() const;
    std::size_t waiting() const;
    /**
     * Earliest time at which review() may have to refuse a request, at which a target's limit has
     * units for one, or at which a free slot opens to this daemon; empty if none is queued.
     */
    std::optional<Instant> nextReview(Instant now) const;

private:
    using Queue = std::vector<QueuedRequest>;

    static void sortByPriority(Queue &queue);
    bool place(const QueuedRequest &request, const std::vector<std::uint64_t> &contenders,
               Instant now);
    void placeAll(Queue &queue, Instant now);
    void refuseAll(Queue &queue, Instant now);
    void refuseOverdue(Queue &queue, Instant now);
    /**
     * Refuses requests that can no longer be placed in time because more urgent ones have overtaken
     * them.
     *
     * Load pattern: a surge of urgent requests arrives while other requests are queued that would
     * have been placed in time. If these are refused only at the end of their waiting time, their
     * callers learn it late and retry while the surge still lasts. If refused at once, they find
     * capacity at another cell: over three benchmark runs of 195 daemons at high load the served
     * share of the value rose from 0.595 to 0.628, over one run of 66 daemons by 0.001. Six daemons
     * form a single cell and gain nothing.
     */
    void refuseOvertaken(Queue &queue, Instant now);
    void refuse(const QueuedRequest &request, Instant now);
    Duration retryAfter(const QueuedRequest &request, const RefusalDetails &details,
                        Instant now) const;
    /** Requests queued at other daemons that rank above `rank`, or also equal to it. */
    std::uint32_t queuedAtOthers(const ServiceId &service, const RequestRank &rank,
                                 bool withEqual) const;
    /** Other members that have requests queued for the service which don't rank below `rank`. */
    std::vector<std::uint64_t> contenders(const ServiceId &service, const RequestRank &rank) const;
    std::uint32_t queuedAhead(const QueuedRequest &request) const;
    Duration expectedWait(const QueuedRequest &request, Instant now) const;
    Instant latestPlacement(const QueuedRequest &request) const;

    TargetTable &m_targets;
    DispatchListener &m_listener;
    const PolicySwitches m_policies;
    std::map<ServiceId, Queue> m_queues;
    std::map<std::uint64_t, std::vector<QueueLength>> m_memberQueueLengths;
};

} // namespace Apricothook
