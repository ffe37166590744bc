#include "apricothook_emulated_fleet.hpp"
#include "apricothook_published_state_fixture.hpp"

#include <apricothook/serving/apricothook_fleet_exchange.hpp>
#include <apricothook/serving/apricothook_suspect_exchange.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;
using Time = EmulatedFleet::Time;

namespace {

const Fingerprint CrashingRequest(666);
const Fingerprint HarmlessRequest(1);
const Fingerprint OtherRequest(2);

/** The components of a daemon that decide about suspect requests, wired as in the process. */
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
        if (m_loop.now() - m_lastTick < Time(200))
            return;
        m_lastTick = m_loop.now();
        m_directory.review(m_lastTick);
        for (const KnownMember *member : m_directory.membersOfCell(m_directory.ownCell()))
            send(member->info.peerAddress, MemberGossip {ownInfo(), false, false, {}});
    }
    void take(const PeerDatagram &datagram) override
    {
        if (const auto *gossip = std::get_if<MemberGossip>(&datagram))
            m_exchange.take(*gossip);
        else if (const auto *notice = std::get_if<SuspectNotice>(&datagram))
            m_suspects.take(*notice);
    }
    SuspectExchange &suspects() { return m_suspects; }

private:
    EventLoop &m_loop;
    NullLog m_log;
    FleetDirectory m_directory;
    FleetExchange m_exchange;
    SuspectExchange m_suspects;
    Instant m_lastTick {};
};

class EmulatedSuspectFleet : public EmulatedFleet
{
public:
    explicit EmulatedSuspectFleet(std::size_t daemons) : EmulatedFleet(daemons, 1)
    {
        lossPerThousand = 0;
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

TEST_CASE("a request that crashes targets of several daemons is quarantined by the fleet")
{
    EmulatedSuspectFleet fleet(8);
    fleet.suspectsOf(0).recordCrash(TargetId("t1"), {CrashingRequest, HarmlessRequest});
    fleet.run(Time(500));
    CHECK(fleet.quarantinedAt(CrashingRequest) == 0);
    fleet.suspectsOf(5).recordCrash(TargetId("t2"), {CrashingRequest, OtherRequest});
    fleet.run(Time(500));
    CHECK(fleet.quarantinedAt(CrashingRequest) >= 7);
    CHECK(fleet.quarantinedAt(HarmlessRequest) == 0);
    CHECK(fleet.quarantinedAt(OtherRequest) == 0);
}

TEST_CASE("a common request isn't quarantined for crashes that it didn't cause")
{
    // Targets crash for unrelated reasons while each of them runs one of the identical requests.
    EmulatedSuspectFleet fleet(8);
    for (std::size_t number = 0; number < fleet.daemons(); ++number)
        fleet.suspectsOf(number).recordAnswer(HarmlessRequest);
    fleet.suspectsOf(0).recordCrash(TargetId("t1"), {HarmlessRequest});
    fleet.suspectsOf(1).recordCrash(TargetId("t2"), {HarmlessRequest});
    fleet.run(Time(500));
    CHECK(fleet.quarantinedAt(HarmlessRequest) == 0);
}

TEST_CASE("a daemon that has seen a request answered clears it at the daemons that suspect it")
{
    EmulatedSuspectFleet fleet(8);
    fleet.suspectsOf(7).recordAnswer(HarmlessRequest);
    fleet.suspectsOf(0).recordCrash(TargetId("t1"), {HarmlessRequest});
    fleet.suspectsOf(1).recordCrash(TargetId("t2"), {HarmlessRequest});
    fleet.run(Time(500));
    CHECK(fleet.quarantinedAt(HarmlessRequest) == 0);
}
