#include <apricothook/dispatch/apricothook_dispatcher.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Apricothook {

std::uint64_t serviceNumber(const ServiceId &service)
{
    return hashOf(service.text());
}

Instant Dispatcher::holdUntil(const WaitingWork &work) const
{
    const Duration whole = work.deadline - work.arrived;
    const auto part = std::chrono::duration_cast<Duration>(whole * LongestHoldPart);
    const auto first = std::chrono::duration_cast<Duration>(work.objective * LongestFirst)
        - m_targets.expectedFirstEvent(work.service, work.size);
    return work.arrived + std::max(std::min(part, first), work.objective / 8);
}

void Dispatcher::offer(WaitingWork work, Instant now)
{
    const WaitingWork newest = work;
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
        = std::ranges::find(queue, newest.exchange, &WaitingWork::exchange) != queue.end();
    // Said at once: a request that waits in vain could have tried again elsewhere meanwhile.
    const bool mayWait = m_policies.waiting && now + expectedWait(newest, now) <= holdUntil(newest);
    if (waits && !mayWait) {
        withdraw(newest.exchange);
        refuse(newest, now);
    }
    refuseOvertaken(queue, now);
}

void Dispatcher::withdraw(ExchangeId exchange)
{
    for (auto &[service, queue] : m_queues)
        std::erase_if(queue,
                      [exchange](const WaitingWork &work) { return work.exchange == exchange; });
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
    std::ranges::stable_sort(queue, {}, [](const WaitingWork &work) {
        return std::tuple(work.rank, work.arrived + work.objective);
    });
}

void Dispatcher::placeAll(Queue &queue, Instant now)
{
    sortByUrgency(queue);
    // Work that waits for a fast target must not keep what a slow one can do from it.
    for (std::size_t next = 0;
         next < queue.size() && m_targets.hasRoom(queue[next].service, now);) {
        const WaitingWork work = queue[next];
        if (place(work, now))
            queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(next));
        else
            ++next;
    }
}

bool Dispatcher::place(const WaitingWork &work, Instant now)
{
    const std::uint32_t above
        = m_policies.othersFirst ? waitingOfOthers(work.service, work.rank, false) : 0;
    if (above > 0 && m_targets.room(work.service, now).free <= above)
        return false;
    const BelievedTarget *target
        = m_targets.choose({.service = work.service,
                            .size = work.size,
                            .untilFirst = work.arrived + work.objective - now,
                            .untilEnd = work.deadline - now,
                            .excluded = work.excluded},
                           now);
    if (!target)
        return false;
    m_targets.started(target->entry.start(), work.size, now);
    m_listener.onPlaced(work.exchange, target->entry);
    return true;
}

void Dispatcher::refuseAll(Queue &queue, Instant now)
{
    for (const WaitingWork &work : std::exchange(queue, {}))
        refuse(work, now);
}

void Dispatcher::refuseOverdue(Queue &queue, Instant now)
{
    const auto overdue
        = std::stable_partition(queue.begin(), queue.end(),
                                [this, now](const auto &work) { return holdUntil(work) > now; });
    const Queue refused(overdue, queue.end());
    queue.erase(overdue, queue.end());
    for (const WaitingWork &work : refused)
        refuse(work, now);
}

void Dispatcher::refuseOvertaken(Queue &queue, Instant now)
{
    const auto overtaken = std::stable_partition(queue.begin(), queue.end(), [&](const auto &work) {
        return expectedWait(work, now) <= holdUntil(work) - work.arrived;
    });
    const Queue refused(overtaken, queue.end());
    queue.erase(overtaken, queue.end());
    for (const WaitingWork &work : refused)
        refuse(work, now);
}

void Dispatcher::refuse(const WaitingWork &work, Instant now)
{
    RefusalFacts facts;
    facts.rank = work.rank;
    facts.room = m_targets.room(work.service, now);
    facts.ahead = waitingAhead(work);
    facts.expectedWait = expectedWait(work, now);
    facts.retryAfter = retryAfter(work, facts, now);
    m_listener.onRefused(work.exchange, facts);
}

Duration Dispatcher::retryAfter(const WaitingWork &work, const RefusalFacts &facts,
                                Instant now) const
{
    const Duration left = std::max(work.deadline - now, Duration::zero());
    const auto latest = std::min<Duration>(
        std::chrono::duration_cast<Duration>(left * LatestReturnPart), LongestRetryAfter);
    // Without a sound target it isn't load that stands in the way, and it may be gone at once.
    const bool isLoad = facts.room.slots > 0 && m_policies.lateReturn;
    const bool isLong = isLoad || m_targets.isEvacuated(work.service);
    return isLong ? latest
                  : std::min(std::max<Duration>(facts.expectedWait, ShortestRetryAfter), latest);
}

std::uint32_t Dispatcher::waitingOfOthers(const ServiceId &service, const RequestRank &rank,
                                          bool withEqual) const
{
    std::uint32_t waiting = 0;
    const std::uint64_t number = serviceNumber(service);
    for (const auto &[member, counts] : m_waitingOfMembers) {
        for (const WaitingCount &count : counts) {
            const bool counts = count.rank.isAbove(rank) || (withEqual && count.rank == rank);
            if (count.service == number && counts)
                waiting += count.waiting;
        }
    }
    return waiting;
}

std::uint32_t Dispatcher::waitingAhead(const WaitingWork &work) const
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

Duration Dispatcher::expectedWait(const WaitingWork &work, Instant now) const
{
    const ServiceRoom room = m_targets.room(work.service, now);
    if (room.free > 0)
        return Duration::zero();
    const double slots = std::max<double>(room.slots, 1);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
        (waitingAhead(work) + 1) * room.meanHold / slots));
}

void Dispatcher::setWaitingOfMember(std::uint64_t member, std::vector<WaitingCount> counts)
{
    if (counts.empty())
        m_waitingOfMembers.erase(member);
    else
        m_waitingOfMembers[member] = std::move(counts);
}

std::vector<WaitingCount> Dispatcher::ownWaiting() const
{
    std::vector<WaitingCount> counts;
    for (const auto &[service, queue] : m_queues) {
        std::map<RequestRank, std::uint32_t> byRank;
        for (const WaitingWork &work : queue)
            ++byRank[work.rank];
        for (const auto &[rank, waiting] : byRank)
            counts.push_back({serviceNumber(service), rank, waiting});
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

std::optional<Instant> Dispatcher::nextRefusal() const
{
    std::optional<Instant> next;
    for (const auto &[service, queue] : m_queues) {
        for (const WaitingWork &work : queue)
            next = std::min(next.value_or(Instant::max()), holdUntil(work));
    }
    return next;
}

} // namespace Apricothook
