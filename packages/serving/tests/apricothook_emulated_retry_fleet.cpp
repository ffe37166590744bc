#include "apricothook_emulated_retry_fleet.hpp"

#include <algorithm>

namespace Apricothook {

namespace {

using Time = EmulatedFleet::Time;

constexpr Time TickPause {200};

} // namespace

EmulatedRetryDaemon::EmulatedRetryDaemon(EmulatedRetryFleet &fleet, std::uint16_t number,
                                         EventLoop &loop, std::uint64_t startedAt)
    : EmulatedDaemon(fleet, number, startedAt)
    , m_fleet(fleet)
    , m_loop(loop)
    , m_directory(EmulatedFleet::memberOf(number))
    , m_exchange(loop, m_directory, *this, fleet.random, fleet.seeds())
    , m_fleetSize(m_directory, fleet.seeds(), EmulatedFleet::addressOf(number))
    , m_budget(fleet.bounds(), loop.now())
{
    m_exchange.start();
    tick();
}

void EmulatedRetryDaemon::step(unsigned requests)
{
    m_loop.runOnce(Time(0));
    const Instant now = m_loop.now();
    if (now - m_lastTick >= TickPause)
        tick();
    for (unsigned request = 0; request < requests; ++request) {
        m_budget.countRequest(now);
        m_fleet.recordRequest();
        for (unsigned retry = 0; retry < EmulatedRetryFleet::MaximumRetries; ++retry) {
            if (m_budget.tryTake(now, m_fleetSize.daemons()).isGranted)
                m_fleet.recordRetry();
        }
    }
}

void EmulatedRetryDaemon::tick()
{
    m_lastTick = m_loop.now();
    m_directory.review(m_lastTick);
    m_fleetSize.review(m_lastTick);
    for (const KnownMember *member : m_directory.membersOfCell(m_directory.ownCell()))
        send(member->info.peerAddress, MemberGossip {ownInfo(), false, false, {}});
    m_exchange.sendSummaries();
}

void EmulatedRetryDaemon::take(const PeerDatagram &datagram)
{
    if (const auto *gossip = std::get_if<MemberGossip>(&datagram))
        m_exchange.take(*gossip);
    else
        m_exchange.take(std::get<CellSummary>(datagram));
}

EmulatedRetryFleet::EmulatedRetryFleet(std::size_t daemons, std::uint64_t seed)
    : EmulatedFleet(daemons, seed)
{
    startAll();
}

FleetBounds EmulatedRetryFleet::bounds() const
{
    FleetBounds bounds;
    bounds.retryRatio = Ratio;
    bounds.retryWindow = Window;
    bounds.retrySlack = 40 + 2 * static_cast<double>(daemons());
    return bounds;
}

std::unique_ptr<EmulatedDaemon> EmulatedRetryFleet::start(std::uint16_t number, EventLoop &loop)
{
    return std::make_unique<EmulatedRetryDaemon>(*this, number, loop,
                                                 static_cast<std::uint64_t>(now().count()) + 1);
}

double EmulatedRetryFleet::retriesPerRequest() const
{
    return static_cast<double>(m_totalRetries)
        / static_cast<double>(std::max<std::size_t>(m_totalRequests, 1));
}

void EmulatedRetryFleet::recordRequest()
{
    ++m_totalRequests;
    m_requests.push_back(now());
    while (m_requests.front() <= now() - 2 * Window)
        m_requests.pop_front();
}

void EmulatedRetryFleet::recordRetry()
{
    ++m_totalRetries;
    m_retries.push_back(now());
    while (m_retries.front() <= now() - Window)
        m_retries.pop_front();
    const std::size_t most
        = std::max({requestsInWindow(now()), requestsInWindow(now() - Window / 2),
                    requestsInWindow(now() - Window)});
    const double budget = Ratio * static_cast<double>(most) + bounds().retrySlack;
    m_worst = std::max(m_worst, static_cast<double>(m_retries.size()) / budget);
}

std::size_t EmulatedRetryFleet::requestsInWindow(Time end) const
{
    const auto from = std::ranges::upper_bound(m_requests, end - Window);
    const auto to = std::ranges::upper_bound(m_requests, end);
    return static_cast<std::size_t>(to - from);
}

} // namespace Apricothook
