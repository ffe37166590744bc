#include "apricothook_emulated_retry_fleet.hpp"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace Apricothook;
using Time = EmulatedFleet::Time;

namespace {

enum class Fault {
    KillOne,
    KillThird,
    KillAll,
    KillInSeries,
    Freeze,
    FreezeOthers,
    CutOff,
    CutOffForMinutes,
    Split,
    SplitOneWay,
    Loss,
};
constexpr int FaultKinds = 11;

void killRepeatedly(EmulatedRetryFleet &fleet, int times)
{
    for (int turn = 0; turn < times; ++turn) {
        for (std::size_t index = 0; index < fleet.daemons(); ++index)
            fleet.kill(index, Time(200 + fleet.random.next() % 400));
        fleet.run(Time(600 + fleet.random.next() % 1000));
    }
}

void inject(EmulatedRetryFleet &fleet, Fault fault)
{
    DeterministicRandom &random = fleet.random;
    const std::size_t one = random.next() % fleet.daemons();
    const Time time(500 + random.next() % 9000);
    const auto each = [&](std::size_t partOf, const auto &act) {
        for (std::size_t index = 0; index < fleet.daemons(); ++index) {
            if (random.next() % partOf == 0)
                act(index);
        }
    };
    switch (fault) {
    case Fault::KillOne:
        return fleet.kill(one, time);
    case Fault::KillThird:
        return each(3, [&](std::size_t index) { fleet.kill(index, time); });
    case Fault::KillAll:
        return each(1,
                    [&](std::size_t index) { fleet.kill(index, Time(300 + random.next() % 300)); });
    case Fault::KillInSeries:
        return killRepeatedly(fleet, 2 + static_cast<int>(random.next() % 6));
    case Fault::Freeze:
        return each(5, [&](std::size_t index) { fleet.freeze(index, time); });
    case Fault::FreezeOthers:
        return each(1, [&](std::size_t index) {
            if (index != one)
                fleet.freeze(index, Time(1200 + random.next() % 1500));
        });
    case Fault::CutOff:
        return each(3, [&](std::size_t index) { fleet.cutOff(index, time); });
    case Fault::CutOffForMinutes:
        each(2, [&](std::size_t index) { fleet.cutOff(index, Time(180'000)); });
        fleet.run(Time(100'000));
        return;
    case Fault::Split:
        return fleet.split(one, time, false);
    case Fault::SplitOneWay:
        return fleet.split(one, time, true);
    case Fault::Loss:
        fleet.lossPerThousand = 5 + random.next() % 100;
        return;
    }
}

std::uint64_t seedCount()
{
    constexpr std::uint64_t InCi = 20;
    const char *wanted = std::getenv("RETRY_SEEDS");
    return wanted ? std::strtoull(wanted, nullptr, 10) : InCi;
}

} // namespace

TEST_CASE("daemons that have just started don't each use the fleet's whole retry slack")
{
    EmulatedRetryFleet fleet(30, 1);
    fleet.requestsPerSecond = 30;
    fleet.run(Time(20'000));
    killRepeatedly(fleet, 1);
    fleet.run(Time(10'000));
    CHECK(fleet.worstRatio() <= 1);
}

TEST_CASE("a series of kills doesn't renew the retry slack")
{
    EmulatedRetryFleet fleet(8, 1);
    fleet.requestsPerSecond = 10;
    fleet.run(Time(20'000));
    killRepeatedly(fleet, 8);
    fleet.run(Time(10'000));
    CHECK(fleet.worstRatio() <= 1);
}

TEST_CASE("isolated daemons don't each use the fleet's whole retry slack")
{
    for (const Time time : {Time(8'000), Time(20'000), Time(100'000)}) {
        CAPTURE(time.count());
        EmulatedRetryFleet fleet(8, 1);
        fleet.requestsPerSecond = 10;
        fleet.run(Time(20'000));
        for (std::size_t index = 0; index < fleet.daemons(); ++index)
            fleet.cutOff(index, time);
        fleet.run(time + Time(10'000));
        CHECK(fleet.worstRatio() <= 1);
    }
}

TEST_CASE("retries stay within the fleet's budget under kills, freezes, loss and partitions")
{
    // The environment variable RETRY_SEEDS sets the number of seeds.
    double worst = 0;
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        DeterministicRandom draw(seed);
        const std::size_t daemons = 1 + draw.next() % 40;
        EmulatedRetryFleet fleet(daemons, seed);
        fleet.run(Time(3000));
        for (int turn = 0; turn < 12; ++turn) {
            fleet.requestsPerSecond = 1 + draw.next() % 60;
            inject(fleet, static_cast<Fault>(draw.next() % FaultKinds));
            fleet.run(Time(draw.next() % 6000));
        }
        fleet.run(Time(10'000));
        CAPTURE(seed);
        CAPTURE(daemons);
        CHECK(fleet.worstRatio() <= 1);
        worst = std::max(worst, fleet.worstRatio());
    }
    MESSAGE("worst ratio to the budget " << worst);
}

TEST_CASE("a fleet without faults uses most of its retry budget")
{
    EmulatedRetryFleet fleet(8, 1);
    fleet.requestsPerSecond = 20;
    fleet.run(Time(60'000));
    CHECK(fleet.worstRatio() <= 1);
    CHECK(fleet.retriesPerRequest() >= EmulatedRetryFleet::Ratio / 2);
}
