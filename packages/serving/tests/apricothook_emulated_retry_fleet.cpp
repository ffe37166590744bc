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
    , m_size(m_directory, fleet.seeds(), EmulatedFleet::addressOf(number))
    , m_allowance(fleet.bounds(), loop.now())
{
    m_exchange.start();
    tick();
}

void EmulatedRetryDaemon::step(unsigned requests)
{
    m_loop.runOnce(Time(0));
    const Instant now = m_loop.now();
    if (now - m_ticked >= TickPause)
        tick();
    for (unsigned request = 0; request < requests; ++request) {
        m_allowance.countRequest(now);
        m_fleet.requested();
        for (unsigned repeat = 0; repeat < EmulatedRetryFleet::MostRepeats; ++repeat) {
            if (m_allowance.tryTake(now, m_size.daemons()).isGranted)
                m_fleet.repeated();
        }
    }
}

void EmulatedRetryDaemon::tick()
{
    m_ticked = m_loop.now();
    m_directory.review(m_ticked);
    m_size.review(m_ticked);
    for (const KnownMember *member : m_directory.membersOfCell(m_directory.ownCell()))
        send(member->info.beaconAddress, MemberGossip {ownBrief(), false, false, {}});
    m_exchange.sendSummaries();
}

void EmulatedRetryDaemon::take(const PeerDatagram &datagram)
{
    if (const auto *greeting = std::get_if<MemberGossip>(&datagram))
        m_exchange.take(*greeting);
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

double EmulatedRetryFleet::repeatedPart() const
{
    return static_cast<double>(m_allRepeats)
        / static_cast<double>(std::max<std::size_t>(m_allRequests, 1));
}

void EmulatedRetryFleet::requested()
{
    ++m_allRequests;
    m_requests.push_back(now());
    while (m_requests.front() <= now() - 2 * Window)
        m_requests.pop_front();
}

void EmulatedRetryFleet::repeated()
{
    ++m_allRepeats;
    m_repeats.push_back(now());
    while (m_repeats.front() <= now() - Window)
        m_repeats.pop_front();
    const std::size_t most = std::max(
        {requestsUntil(now()), requestsUntil(now() - Window / 2), requestsUntil(now() - Window)});
    const double budget = Ratio * static_cast<double>(most) + bounds().retrySlack;
    m_worst = std::max(m_worst, static_cast<double>(m_repeats.size()) / budget);
}

std::size_t EmulatedRetryFleet::requestsUntil(Time end) const
{
    const auto from = std::ranges::upper_bound(m_requests, end - Window);
    const auto to = std::ranges::upper_bound(m_requests, end);
    return static_cast<std::size_t>(to - from);
}

} // namespace Apricothook
