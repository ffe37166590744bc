#include <apricothook/dispatch/apricothook_dispatcher.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Apricothook {

std::uint64_t serviceHash(const ServiceId &service)
{
    return hashOf(service.text());
}

Instant Dispatcher::holdUntil(const QueuedRequest &work) const
{
    const Duration whole = work.deadline - work.arrived;
    const auto part = std::chrono::duration_cast<Duration>(whole * LongestHoldPart);
    const auto first = std::chrono::duration_cast<Duration>(work.objective * LongestFirst)
        - m_targets.expectedTimeToFirstEvent(work.service, work.size);
    return work.arrived + std::max(std::min(part, first), work.objective / 8);
}

void Dispatcher::submit(QueuedRequest work, Instant now)
{
    const QueuedRequest newest = work;
    const bool hadAll
        = !newest.excluded.empty() && !m_targets.hasOther(newest.service, newest.excluded);
    if (hadAll || m_targets.isEvacuated(newest.service)) {
        refuse(newest, now);
        return;
    }
    Queue &queue = m_queues[work.service];
    queue.push_back(std::move(work));
    placeAll(queue, now);
    const bool waits
        = std::ranges::find(queue, newest.exchange, &QueuedRequest::exchange) != queue.end();
    // Said at once: a request that waits in vain could have tried again elsewhere meanwhile.
    const bool mayWait = m_policies.waiting && now + expectedWait(newest, now) <= holdUntil(newest);
    if (waits && !mayWait) {
        cancel(newest.exchange);
        refuse(newest, now);
    }
    refuseOvertaken(queue, now);
}

void Dispatcher::cancel(ExchangeId exchange)
{
    for (auto &[service, queue] : m_queues)
        std::erase_if(queue,
                      [exchange](const QueuedRequest &work) { return work.exchange == exchange; });
}

void Dispatcher::review(Instant now)
{
    m_targets.review(now);
    for (auto &[service, queue] : m_queues) {
        // An evacuation lasts for longer than anything may wait.
        if (m_targets.isEvacuated(service))
            refuseAll(queue, now);
        placeAll(queue, now);
        refuseOverdue(queue, now);
        refuseOvertaken(queue, now);
    }
}

void Dispatcher::sortByUrgency(Queue &queue)
{
    std::ranges::stable_sort(queue, {}, [](const QueuedRequest &work) {
        return std::tuple(work.rank, work.arrived + work.objective);
    });
}

void Dispatcher::placeAll(Queue &queue, Instant now)
{
    sortByUrgency(queue);
    // Work that waits for a fast target must not keep what a slow one can do from it.
    for (std::size_t next = 0;
         next < queue.size() && m_targets.hasRoom(queue[next].service, now);) {
        const QueuedRequest work = queue[next];
        if (place(work, now))
            queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(next));
        else
            ++next;
    }
}

bool Dispatcher::place(const QueuedRequest &work, Instant now)
{
    const std::uint32_t above
        = m_policies.othersFirst ? waitingOfOthers(work.service, work.rank, false) : 0;
    if (above > 0 && m_targets.capacity(work.service, now).free <= above)
        return false;
    const TrackedTarget *target
        = m_targets.choose({.service = work.service,
                            .size = work.size,
                            .untilFirst = work.arrived + work.objective - now,
                            .untilEnd = work.deadline - now,
                            .excluded = work.excluded},
                           now);
    if (!target)
        return false;
    m_targets.requestStarted(target->entry.instance(), work.size, now);
    m_listener.onPlaced(work.exchange, target->entry);
    return true;
}

void Dispatcher::refuseAll(Queue &queue, Instant now)
{
    for (const QueuedRequest &work : std::exchange(queue, {}))
        refuse(work, now);
}

void Dispatcher::refuseOverdue(Queue &queue, Instant now)
{
    const auto overdue
        = std::stable_partition(queue.begin(), queue.end(),
                                [this, now](const auto &work) { return holdUntil(work) > now; });
    const Queue refused(overdue, queue.end());
    queue.erase(overdue, queue.end());
    for (const QueuedRequest &work : refused)
        refuse(work, now);
}

void Dispatcher::refuseOvertaken(Queue &queue, Instant now)
{
    const auto overtaken = std::stable_partition(queue.begin(), queue.end(), [&](const auto &work) {
        return expectedWait(work, now) <= holdUntil(work) - work.arrived;
    });
    const Queue refused(overtaken, queue.end());
    queue.erase(overtaken, queue.end());
    for (const QueuedRequest &work : refused)
        refuse(work, now);
}

void Dispatcher::refuse(const QueuedRequest &work, Instant now)
{
    RefusalDetails facts;
    facts.rank = work.rank;
    facts.capacity = m_targets.capacity(work.service, now);
    facts.ahead = waitingAhead(work);
    facts.expectedWait = expectedWait(work, now);
    facts.retryAfter = retryAfter(work, facts, now);
    m_listener.onRefused(work.exchange, facts);
}

Duration Dispatcher::retryAfter(const QueuedRequest &work, const RefusalDetails &facts,
                                Instant now) const
{
    const Duration left = std::max(work.deadline - now, Duration::zero());
    const auto latest = std::min<Duration>(
        std::chrono::duration_cast<Duration>(left * LatestReturnPart), LongestRetryAfter);
    // Without a sound target it isn't load that stands in the way, and it may be gone at once.
    const bool isLoad = facts.capacity.slots > 0 && m_policies.lateReturn;
    const bool isLong = isLoad || m_targets.isEvacuated(work.service);
    return isLong ? latest
                  : std::min(std::max<Duration>(facts.expectedWait, ShortestRetryAfter), latest);
}

std::uint32_t Dispatcher::waitingOfOthers(const ServiceId &service, const RequestRank &rank,
                                          bool withEqual) const
{
    std::uint32_t waiting = 0;
    const std::uint64_t number = serviceHash(service);
    for (const auto &[member, counts] : m_waitingOfMembers) {
        for (const QueueLength &count : counts) {
            const bool counts = count.rank.isAbove(rank) || (withEqual && count.rank == rank);
            if (count.service == number && counts)
                waiting += count.waiting;
        }
    }
    return waiting;
}

std::uint32_t Dispatcher::waitingAhead(const QueuedRequest &work) const
{
    std::uint32_t ahead = waitingOfOthers(work.service, work.rank, true);
    const auto queue = m_queues.find(work.service);
    if (queue != m_queues.end()) {
        ahead += static_cast<std::uint32_t>(
            std::ranges::count_if(queue->second, [&](const auto &other) {
                return other.exchange != work.exchange && !work.rank.isAbove(other.rank);
            }));
    }
    return ahead;
}

Duration Dispatcher::expectedWait(const QueuedRequest &work, Instant now) const
{
    const ServiceCapacity room = m_targets.capacity(work.service, now);
    if (room.free > 0)
        return Duration::zero();
    const double slots = std::max<double>(room.slots, 1);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
        (waitingAhead(work) + 1) * room.meanHoldTime / slots));
}

void Dispatcher::setMemberQueueLengths(std::uint64_t member, std::vector<QueueLength> counts)
{
    if (counts.empty())
        m_waitingOfMembers.erase(member);
    else
        m_waitingOfMembers[member] = std::move(counts);
}

std::vector<QueueLength> Dispatcher::ownQueueLengths() const
{
    std::vector<QueueLength> counts;
    for (const auto &[service, queue] : m_queues) {
        std::map<RequestRank, std::uint32_t> byRank;
        for (const QueuedRequest &work : queue)
            ++byRank[work.rank];
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

std::optional<Instant> Dispatcher::nextTimeout() const
{
    std::optional<Instant> next;
    for (const auto &[service, queue] : m_queues) {
        for (const QueuedRequest &work : queue)
            next = std::min(next.value_or(Instant::max()), holdUntil(work));
    }
    return next;
}

} // namespace Apricothook
