#include "apricothook_emulated_turns.hpp"

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace Apricothook {

using std::chrono::milliseconds;

EmulatedTurnFleet::EmulatedTurnFleet(std::size_t daemons, std::uint32_t slots)
{
    for (std::size_t index = 0; index < daemons; ++index) {
        auto daemon = std::make_unique<Daemon>();
        daemon->bench = std::make_unique<DispatchBench>(ColdTargetLimiter(), memberOf(index));
        daemon->bench->addTarget(Target.text(), slots);
        daemon->nextHeartbeat = daemon->bench->clock.now() + HeartbeatInterval;
        m_daemons.push_back(std::move(daemon));
    }
}

void EmulatedTurnFleet::offer(std::size_t daemon)
{
    DispatchBench &bench = *m_daemons[daemon]->bench;
    QueuedRequest request = bench.request(++m_requests);
    request.objective = std::chrono::seconds(10);
    request.deadline = bench.clock.now() + std::chrono::seconds(60);
    bench.dispatcher.submit(request, bench.clock.now());
    m_daemons[daemon]->reviewDue = bench.clock.now();
}

void EmulatedTurnFleet::finish(std::size_t daemon)
{
    m_daemons[daemon]->bench->finish(Target.text());
}

void EmulatedTurnFleet::cancel(std::size_t daemon, std::uint64_t request)
{
    m_daemons[daemon]->bench->dispatcher.cancel(ExchangeId(request));
}

void EmulatedTurnFleet::run(milliseconds time)
{
    for (milliseconds passed {}; passed < time; ++passed) {
        for (std::size_t index = 0; index < m_daemons.size(); ++index)
            step(index);
        for (const auto &daemon : m_daemons)
            daemon->bench->clock.advance(milliseconds(1));
    }
}

void EmulatedTurnFleet::step(std::size_t index)
{
    Daemon &daemon = *m_daemons[index];
    DispatchBench &bench = *daemon.bench;
    const Instant now = bench.clock.now();
    deliver(index);
    if (daemon.reviewDue && *daemon.reviewDue <= now) {
        bench.dispatcher.review(now);
        daemon.reviewDue = bench.dispatcher.nextReview(now);
    }
    const bool isChanged = bench.targets.ownLoad() != daemon.lastLoad
        || bench.dispatcher.ownQueueLengths() != daemon.lastWaiting;
    if (isChanged && !daemon.reportDue)
        daemon.reportDue = now + ReportDelay;
    if (now >= std::min(daemon.reportDue.value_or(daemon.nextHeartbeat), daemon.nextHeartbeat))
        sendReport(index);
}

void EmulatedTurnFleet::sendReport(std::size_t index)
{
    Daemon &daemon = *m_daemons[index];
    const Instant now = daemon.bench->clock.now();
    daemon.reportDue.reset();
    if (now >= daemon.nextHeartbeat)
        daemon.nextHeartbeat = now + HeartbeatInterval;
    daemon.lastLoad = daemon.bench->targets.ownLoad();
    daemon.lastWaiting = daemon.bench->dispatcher.ownQueueLengths();
    daemon.bench->targets.recordReport(now);
    for (std::size_t to = 0; to < m_daemons.size(); ++to) {
        if (to != index && !m_loss(index, to))
            m_reports.push_back(
                {now + Transmission, index, to, daemon.lastLoad, daemon.lastWaiting});
    }
}

void EmulatedTurnFleet::deliver(std::size_t index)
{
    Daemon &daemon = *m_daemons[index];
    const Instant now = daemon.bench->clock.now();
    std::erase_if(m_reports, [&](const Report &report) {
        if (report.to != index || report.arrives > now)
            return false;
        daemon.bench->targets.setMemberLoad(memberOf(report.from), report.loads, now);
        daemon.bench->dispatcher.setMemberQueueLengths(memberOf(report.from), report.waiting);
        daemon.reviewDue = now;
        return true;
    });
}

std::vector<std::size_t> EmulatedTurnFleet::order(std::size_t except) const
{
    std::vector<std::size_t> daemons;
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        if (index != except)
            daemons.push_back(index);
    }
    const std::uint64_t target = targetHash({Target});
    std::ranges::sort(daemons, std::greater(), [target](std::size_t daemon) {
        return rendezvousWeight(target, memberOf(daemon));
    });
    return daemons;
}

std::size_t EmulatedTurnFleet::placedByOthers(std::size_t except) const
{
    std::size_t placed = 0;
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        if (index != except)
            placed += m_daemons[index]->bench->placements.placed.size();
    }
    return placed;
}

} // namespace Apricothook
