#include <apricothook/dispatch/apricothook_dispatcher.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace Apricothook {

std::uint64_t serviceHash(const ServiceId &service)
{
    return hashOf(service.text());
}

Instant Dispatcher::latestPlacement(const QueuedRequest &request) const
{
    const Duration whole = request.deadline - request.arrived;
    const auto byFraction = std::chrono::duration_cast<Duration>(whole * LongestQueueFraction);
    const auto byFirstByte
        = std::chrono::duration_cast<Duration>(request.objective * LongestTimeToFirstByte)
        - m_targets.expectedTimeToFirstEvent(request.service, request.size);
    return request.arrived + std::max(std::min(byFraction, byFirstByte), request.objective / 8);
}

void Dispatcher::submit(QueuedRequest request, Instant now)
{
    const QueuedRequest submitted = request;
    const bool hasNoTarget = !submitted.constraint.allowsAll()
        && !m_targets.hasAlternative(submitted.service, submitted.constraint);
    if (hasNoTarget || m_targets.isEvacuated(submitted.service)) {
        refuse(submitted, now);
        return;
    }
    Queue &queue = m_queues[request.service];
    queue.push_back(std::move(request));
    placeAll(queue, now);
    const bool isQueued
        = std::ranges::find(queue, submitted.exchange, &QueuedRequest::exchange) != queue.end();
    // Refused at once, so that the caller of a request that would wait in vain can retry elsewhere.
    const bool mayWait
        = m_policies.waiting && now + expectedWait(submitted, now) <= latestPlacement(submitted);
    if (isQueued && !mayWait) {
        cancel(submitted.exchange);
        refuse(submitted, now);
    }
    refuseOvertaken(queue, now);
}

void Dispatcher::cancel(ExchangeId exchange)
{
    for (auto &[service, queue] : m_queues)
        std::erase_if(queue, [exchange](const QueuedRequest &request) {
            return request.exchange == exchange;
        });
}

void Dispatcher::review(Instant now)
{
    m_targets.review(now);
    for (auto &[service, queue] : m_queues) {
        // An evacuation lasts longer than any request may wait.
        if (m_targets.isEvacuated(service))
            refuseAll(queue, now);
        placeAll(queue, now);
        refuseOverdue(queue, now);
        refuseOvertaken(queue, now);
    }
}

void Dispatcher::sortByPriority(Queue &queue)
{
    // A stream that has begun can use only the targets of its version, and work was done for it.
    std::ranges::stable_sort(queue, {}, [](const QueuedRequest &request) {
        return std::tuple(request.rank, !request.constraint.version,
                          request.arrived + request.objective);
    });
}

void Dispatcher::placeAll(Queue &queue, Instant now)
{
    sortByPriority(queue);
    std::optional<RequestRank> rank;
    std::vector<std::uint64_t> others;
    // A request that waits for a fast target must not block others that a slow target can serve.
    for (std::size_t next = 0; next < queue.size();) {
        const QueuedRequest request = queue[next];
        if (rank != request.rank) {
            rank = request.rank;
            others = contenders(request.service, request.rank);
        }
        // Requests of lower rank have all of these contenders too.
        if (!m_targets.hasCapacity(request.service, others, now))
            break;
        if (place(request, others, now))
            queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(next));
        else
            ++next;
    }
}

bool Dispatcher::place(const QueuedRequest &request, const std::vector<std::uint64_t> &contenders,
                       Instant now)
{
    const std::uint32_t queuedAbove
        = m_policies.othersFirst ? queuedAtOthers(request.service, request.rank, false) : 0;
    if (queuedAbove > 0 && m_targets.capacity(request.service, now).free <= queuedAbove)
        return false;
    const TrackedTarget *target
        = m_targets.choose({.service = request.service,
                            .size = request.size,
                            .timeToFirstEvent = request.arrived + request.objective - now,
                            .timeToEnd = request.deadline - now,
                            .constraint = request.constraint,
                            .contenders = contenders},
                           now);
    if (!target)
        return false;
    const SlotFill fill = m_targets.slotFill(*target, contenders, now);
    m_targets.requestStarted(target->entry.instance(), request.size, now);
    m_listener.onPlaced(request.exchange, target->entry, fill);
    return true;
}

void Dispatcher::refuseAll(Queue &queue, Instant now)
{
    for (const QueuedRequest &request : std::exchange(queue, {}))
        refuse(request, now);
}

void Dispatcher::refuseOverdue(Queue &queue, Instant now)
{
    const auto overdue
        = std::stable_partition(queue.begin(), queue.end(), [this, now](const auto &request) {
              return latestPlacement(request) > now;
          });
    const Queue refused(overdue, queue.end());
    queue.erase(overdue, queue.end());
    for (const QueuedRequest &request : refused)
        refuse(request, now);
}

void Dispatcher::refuseOvertaken(Queue &queue, Instant now)
{
    const auto overtaken
        = std::stable_partition(queue.begin(), queue.end(), [&](const auto &request) {
              return expectedWait(request, now) <= latestPlacement(request) - request.arrived;
          });
    const Queue refused(overtaken, queue.end());
    queue.erase(overtaken, queue.end());
    for (const QueuedRequest &request : refused)
        refuse(request, now);
}

void Dispatcher::refuse(const QueuedRequest &request, Instant now)
{
    RefusalDetails details;
    details.rank = request.rank;
    details.capacity = m_targets.capacity(request.service, now);
    details.ahead = queuedAhead(request);
    details.expectedWait = expectedWait(request, now);
    details.retryAfter = retryAfter(request, details, now);
    m_listener.onRefused(request.exchange, details);
}

Duration Dispatcher::retryAfter(const QueuedRequest &request, const RefusalDetails &details,
                                Instant now) const
{
    const Duration remaining = std::max(request.deadline - now, Duration::zero());
    const auto latest = std::min<Duration>(
        std::chrono::duration_cast<Duration>(remaining * LatestRetryFraction), LongestRetryAfter);
    // If no target is healthy, load isn't the cause, and the cause may disappear at any moment.
    const bool isLoad = details.capacity.slots > 0 && m_policies.lateReturn;
    const bool isLong = isLoad || m_targets.isEvacuated(request.service);
    return isLong ? latest
                  : std::min(std::max<Duration>(details.expectedWait, ShortestRetryAfter), latest);
}

std::uint32_t Dispatcher::queuedAtOthers(const ServiceId &service, const RequestRank &rank,
                                         bool withEqual) const
{
    std::uint32_t waiting = 0;
    const std::uint64_t number = serviceHash(service);
    for (const auto &[member, counts] : m_memberQueueLengths) {
        for (const QueueLength &count : counts) {
            const bool counts = count.rank.isAbove(rank) || (withEqual && count.rank == rank);
            if (count.service == number && counts)
                waiting += count.waiting;
        }
    }
    return waiting;
}

std::vector<std::uint64_t> Dispatcher::contenders(const ServiceId &service,
                                                  const RequestRank &rank) const
{
    std::vector<std::uint64_t> members;
    if (!m_policies.slotTurns)
        return members;
    const std::uint64_t number = serviceHash(service);
    for (const auto &[member, counts] : m_memberQueueLengths) {
        const bool contends = std::ranges::any_of(counts, [&](const QueueLength &count) {
            return count.service == number && count.waiting > 0 && !rank.isAbove(count.rank);
        });
        if (contends)
            members.push_back(member);
    }
    return members;
}

std::uint32_t Dispatcher::queuedAhead(const QueuedRequest &request) const
{
    std::uint32_t ahead = queuedAtOthers(request.service, request.rank, true);
    const auto queue = m_queues.find(request.service);
    if (queue != m_queues.end()) {
        ahead += static_cast<std::uint32_t>(
            std::ranges::count_if(queue->second, [&](const auto &other) {
                return other.exchange != request.exchange && !request.rank.isAbove(other.rank);
            }));
    }
    return ahead;
}

Duration Dispatcher::expectedWait(const QueuedRequest &request, Instant now) const
{
    const ServiceCapacity capacity = m_targets.capacity(request.service, now);
    if (capacity.free > 0)
        return Duration::zero();
    const double slots = std::max<double>(capacity.slots, 1);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
        (queuedAhead(request) + 1) * capacity.meanHoldTime / slots));
}

void Dispatcher::setMemberQueueLengths(std::uint64_t member, std::vector<QueueLength> counts)
{
    if (counts.empty())
        m_memberQueueLengths.erase(member);
    else
        m_memberQueueLengths[member] = std::move(counts);
}

std::vector<QueueLength> Dispatcher::ownQueueLengths() const
{
    std::vector<QueueLength> counts;
    for (const auto &[service, queue] : m_queues) {
        std::map<RequestRank, std::uint32_t> byRank;
        for (const QueuedRequest &request : queue)
            ++byRank[request.rank];
        for (const auto &[rank, waiting] : byRank)
            counts.push_back({serviceHash(service), rank, waiting});
    }
    return counts;
}

std::size_t Dispatcher::waiting() const
{
    std::size_t sum = 0;
    for (const auto &[service, queue] : m_queues)
        sum += queue.size();
    return sum;
}

std::optional<Instant> Dispatcher::nextReview(Instant now) const
{
    if (waiting() == 0)
        return std::nullopt;
    std::optional<Instant> next = m_targets.nextUnitTime(now);
    for (const auto &[service, queue] : m_queues) {
        std::set<RequestRank> ranks;
        for (const QueuedRequest &request : queue) {
            next = std::min(next.value_or(Instant::max()), latestPlacement(request));
            ranks.insert(request.rank);
        }
        for (const RequestRank &rank : ranks) {
            if (const auto turn = m_targets.nextTurn(service, contenders(service, rank), now))
                next = std::min(next.value_or(*turn), *turn);
        }
    }
    return next;
}

} // namespace Apricothook
