#include "apricothook_emulated_fleet.hpp"
#include "apricothook_published_state_fixture.hpp"

#include <apricothook/fleetview/apricothook_fleet_size.hpp>
#include <apricothook/serving/apricothook_fleet_exchange.hpp>
#include <apricothook/serving/apricothook_limit_exchange.hpp>

#include <doctest/doctest.h>

#include <deque>

using namespace Apricothook;
using Time = EmulatedFleet::Time;

namespace {

constexpr Time TickPause {200};
constexpr Time Window {8000};

FleetBounds limitBounds()
{
    FleetBounds bounds;
    bounds.customerWindow = Window;
    bounds.customerOvershoot = 0.25;
    bounds.customerSlack = 20;
    return bounds;
}

CustomerRule limitedCustomer()
{
    CustomerRule rule;
    rule.name = CustomerId("carrier");
    rule.ratePerSecond = 100;
    rule.burst = 100;
    return rule;
}

class EmulatedLimitFleet;

/** The components of a daemon that enforce customers' limits, wired as in the process. */
class EmulatedLimitDaemon : public EmulatedDaemon
{
public:
    EmulatedLimitDaemon(EmulatedLimitFleet &fleet, std::uint16_t number, EventLoop &loop,
                        std::uint64_t startedAt);

    void step(unsigned requests) override;
    void take(const PeerDatagram &datagram) override;

private:
    void tick();
    template <typename Message>
    void takeMessage(const Message &message)
    {
        m_limits.take(message);
    }
    void takeMessage(const MemberGossip &gossip) { m_exchange.take(gossip); }
    void takeMessage(const CellSummary &summary) { m_exchange.take(summary); }
    void takeMessage(const Heartbeat &) { }
    void takeMessage(const CellLoadReport &) { }
    void takeMessage(const ReaderAnnouncement &) { }
    void takeMessage(const SuspectNotice &) { }

    EmulatedLimitFleet &m_fleet;
    EventLoop &m_loop;
    StubWireProtocol m_wire;
    NullLog m_log;
    Metrics m_metrics;
    Gateway m_gateway;
    FleetDirectory m_directory;
    FleetExchange m_exchange;
    FleetSize m_fleetSize;
    LimitExchange m_limits;
    std::uint64_t m_lastRequest = 0;
    Instant m_lastTick {};
};

/** Counts the requests of one customer that daemons admit without a message to another daemon. */
class EmulatedLimitFleet : public EmulatedFleet
{
public:
    explicit EmulatedLimitFleet(std::size_t daemons) : EmulatedFleet(daemons, 1) { startAll(); }

    void admitted()
    {
        m_admitted.push_back(now());
        while (m_admitted.front() <= now() - Window)
            m_admitted.pop_front();
        m_worst = std::max(m_worst, m_admitted.size());
    }
    /** Most requests that were admitted in any window, divided by the customer's bound. */
    double worstRatio() const
    {
        const double seconds = std::chrono::duration<double>(Window).count();
        const CustomerRule rule = limitedCustomer();
        const double plain = rule.ratePerSecond * seconds + rule.burst;
        const FleetBounds bounds = limitBounds();
        return static_cast<double>(m_worst)
            / (plain * (1 + bounds.customerOvershoot) + bounds.customerSlack);
    }

private:
    std::unique_ptr<EmulatedDaemon> start(std::uint16_t number, EventLoop &loop) override
    {
        return std::make_unique<EmulatedLimitDaemon>(*this, number, loop,
                                                     static_cast<std::uint64_t>(now().count()) + 1);
    }

    std::deque<Time> m_admitted;
    std::size_t m_worst = 0;
};

EmulatedLimitDaemon::EmulatedLimitDaemon(EmulatedLimitFleet &fleet, std::uint16_t number,
                                         EventLoop &loop, std::uint64_t startedAt)
    : EmulatedDaemon(fleet, number, startedAt)
    , m_fleet(fleet)
    , m_loop(loop)
    , m_gateway(loop, m_wire, fleet.random, m_log, m_metrics, limitBounds(), DataCentreId("d"), {},
                {memberHash(EmulatedFleet::memberOf(number)), EmulatedFleet::addressOf(number)})
    , m_directory(EmulatedFleet::memberOf(number))
    , m_exchange(loop, m_directory, *this, fleet.random, fleet.seeds())
    , m_fleetSize(m_directory, fleet.seeds(), EmulatedFleet::addressOf(number))
    , m_limits(loop, m_directory, m_fleetSize, *this, m_gateway, fleet.random, fleet.seeds(), true)
{
    m_gateway.limits().setBudgets(budgetsOf({limitedCustomer()}, limitBounds()), loop.now());
    m_exchange.start();
    tick();
}

void EmulatedLimitDaemon::step(unsigned requests)
{
    m_loop.runOnce(Time(0));
    const Instant now = m_loop.now();
    if (now - m_lastTick >= TickPause)
        tick();
    for (unsigned request = 0; request < requests; ++request) {
        const std::optional<LimitDecision> verdict
            = m_gateway.limits().take(ExchangeId(++m_lastRequest),
                                      {.limit = customerHash(limitedCustomer().name),
                                       .budget = budgetOf(limitedCustomer(), limitBounds()),
                                       .demand = {1, 0},
                                       .longestWait = FleetRateLimiter::LongestWait},
                                      now);
        if (verdict && verdict->isAdmitted)
            m_fleet.admitted();
    }
    m_gateway.scheduleLimitReview();
}

void EmulatedLimitDaemon::tick()
{
    m_lastTick = m_loop.now();
    m_directory.review(m_lastTick);
    m_fleetSize.review(m_lastTick);
    for (const KnownMember *member : m_directory.membersOfCell(m_directory.ownCell()))
        send(member->info.peerAddress, MemberGossip {ownInfo(), false, false, {}});
    m_limits.tick();
}

void EmulatedLimitDaemon::take(const PeerDatagram &datagram)
{
    std::visit([this](const auto &message) { takeMessage(message); }, datagram);
}

} // namespace

TEST_CASE("daemons isolated for a long time don't each grant a customer's whole limit")
{
    for (const Time time : {Time(10'000), Time(40'000), Time(120'000)}) {
        CAPTURE(time.count());
        EmulatedLimitFleet fleet(8);
        fleet.requestsPerSecond = 50;
        fleet.run(Time(20'000));
        for (std::size_t index = 0; index < fleet.daemons(); ++index)
            fleet.cutOff(index, time);
        fleet.run(time + Time(10'000));
        CHECK(fleet.worstRatio() <= 1);
    }
}
