#include "apricothook_emulated_fleet.hpp"
#include "apricothook_state_bench.hpp"

#include <apricothook/serving/apricothook_fleet_exchange.hpp>
#include <apricothook/serving/apricothook_suspect_exchange.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;
using Time = EmulatedFleet::Time;

namespace {

const Fingerprint Poison(666);
const Fingerprint Innocent(1);
const Fingerprint Another(2);

/** The parts of one daemon's process that decide about suspects, as they are assembled. */
class EmulatedSuspectDaemon : public EmulatedDaemon
{
public:
    EmulatedSuspectDaemon(EmulatedFleet &fleet, std::uint16_t number, EventLoop &loop,
                          std::uint64_t startedAt)
        : EmulatedDaemon(fleet, number, startedAt)
        , m_loop(loop)
        , m_directory(EmulatedFleet::memberOf(number))
        , m_exchange(loop, m_directory, *this, fleet.random, fleet.seeds())
        , m_suspects(loop, m_directory, *this, fleet.random, m_log)
    {
        m_exchange.start();
    }

    void step(unsigned) override
    {
        m_loop.runOnce(Time(0));
        if (m_loop.now() - m_told < Time(200))
            return;
        m_told = m_loop.now();
        m_directory.review(m_told);
        for (const KnownMember *member : m_directory.membersOfCell(m_directory.ownCell()))
            send(member->info.beaconAddress, MemberGossip {ownBrief(), false, false, {}});
    }
    void take(const PeerDatagram &datagram) override
    {
        if (const auto *greeting = std::get_if<MemberGossip>(&datagram))
            m_exchange.take(*greeting);
        else if (const auto *notice = std::get_if<SuspectNotice>(&datagram))
            m_suspects.take(*notice);
    }
    SuspectExchange &suspects() { return m_suspects; }

private:
    EventLoop &m_loop;
    NoLog m_log;
    FleetDirectory m_directory;
    FleetExchange m_exchange;
    SuspectExchange m_suspects;
    Instant m_told {};
};

class EmulatedSuspectFleet : public EmulatedFleet
{
public:
    explicit EmulatedSuspectFleet(std::size_t daemons) : EmulatedFleet(daemons, 1)
    {
        lostOfThousand = 0;
        startAll();
        run(Time(3000));
    }

    SuspectExchange &suspectsOf(std::size_t number)
    {
        return static_cast<EmulatedSuspectDaemon &>(daemon(number)).suspects();
    }
    std::size_t quarantinedAt(Fingerprint request)
    {
        std::size_t count = 0;
        for (std::size_t number = 0; number < daemons(); ++number)
            count += suspectsOf(number).quarantine(request) ? 1 : 0;
        return count;
    }

private:
    std::unique_ptr<EmulatedDaemon> start(std::uint16_t number, EventLoop &loop) override
    {
        return std::make_unique<EmulatedSuspectDaemon>(
            *this, number, loop, static_cast<std::uint64_t>(now().count()) + 1);
    }
};

} // namespace

TEST_CASE("a request that crashes targets through several daemons is refused by the fleet")
{
    EmulatedSuspectFleet fleet(8);
    fleet.suspectsOf(0).recordCrash(TargetId("t1"), {Poison, Innocent});
    fleet.run(Time(500));
    CHECK(fleet.quarantinedAt(Poison) == 0);
    fleet.suspectsOf(5).recordCrash(TargetId("t2"), {Poison, Another});
    fleet.run(Time(500));
    CHECK(fleet.quarantinedAt(Poison) >= 7);
    CHECK(fleet.quarantinedAt(Innocent) == 0);
    CHECK(fleet.quarantinedAt(Another) == 0);
}

TEST_CASE("a request of many callers isn't refused for crashes that it didn't cause")
{
    // Targets crash for reasons of their own, and each ran one of these requests.
    EmulatedSuspectFleet fleet(8);
    for (std::size_t number = 0; number < fleet.daemons(); ++number)
        fleet.suspectsOf(number).recordAnswer(Innocent);
    fleet.suspectsOf(0).recordCrash(TargetId("t1"), {Innocent});
    fleet.suspectsOf(1).recordCrash(TargetId("t2"), {Innocent});
    fleet.run(Time(500));
    CHECK(fleet.quarantinedAt(Innocent) == 0);
}

TEST_CASE("a daemon that has answered a request clears it at those that suspect it")
{
    EmulatedSuspectFleet fleet(8);
    fleet.suspectsOf(7).recordAnswer(Innocent);
    fleet.suspectsOf(0).recordCrash(TargetId("t1"), {Innocent});
    fleet.suspectsOf(1).recordCrash(TargetId("t2"), {Innocent});
    fleet.run(Time(500));
    CHECK(fleet.quarantinedAt(Innocent) == 0);
}
