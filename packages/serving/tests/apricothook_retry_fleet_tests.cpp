#include "apricothook_emulated_retry_fleet.hpp"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace Apricothook;
using Time = EmulatedFleet::Time;

namespace {

enum class Harm {
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
constexpr int Harms = 11;

void killInSeries(EmulatedRetryFleet &fleet, int times)
{
    for (int turn = 0; turn < times; ++turn) {
        for (std::size_t index = 0; index < fleet.daemons(); ++index)
            fleet.kill(index, Time(200 + fleet.random.next() % 400));
        fleet.run(Time(600 + fleet.random.next() % 1000));
    }
}

void play(EmulatedRetryFleet &fleet, Harm harm)
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
    switch (harm) {
    case Harm::KillOne:
        return fleet.kill(one, time);
    case Harm::KillThird:
        return each(3, [&](std::size_t index) { fleet.kill(index, time); });
    case Harm::KillAll:
        return each(1,
                    [&](std::size_t index) { fleet.kill(index, Time(300 + random.next() % 300)); });
    case Harm::KillInSeries:
        return killInSeries(fleet, 2 + static_cast<int>(random.next() % 6));
    case Harm::Freeze:
        return each(5, [&](std::size_t index) { fleet.freeze(index, time); });
    case Harm::FreezeOthers:
        return each(1, [&](std::size_t index) {
            if (index != one)
                fleet.freeze(index, Time(1200 + random.next() % 1500));
        });
    case Harm::CutOff:
        return each(3, [&](std::size_t index) { fleet.cutOff(index, time); });
    case Harm::CutOffForMinutes:
        each(2, [&](std::size_t index) { fleet.cutOff(index, Time(180'000)); });
        fleet.run(Time(100'000));
        return;
    case Harm::Split:
        return fleet.split(one, time, false);
    case Harm::SplitOneWay:
        return fleet.split(one, time, true);
    case Harm::Loss:
        fleet.lostOfThousand = 5 + random.next() % 100;
        return;
    }
}

std::uint64_t seedsToPlay()
{
    constexpr std::uint64_t InCi = 20;
    const char *wanted = std::getenv("RETRY_SEEDS");
    return wanted ? std::strtoull(wanted, nullptr, 10) : InCi;
}

} // namespace

TEST_CASE("daemons that have just started don't each take the fleet's slack for repeated sends")
{
    EmulatedRetryFleet fleet(30, 1);
    fleet.requestsPerSecond = 30;
    fleet.run(Time(20'000));
    killInSeries(fleet, 1);
    fleet.run(Time(10'000));
    CHECK(fleet.worstRatio() <= 1);
}

TEST_CASE("kills in series don't renew the slack for repeated sends")
{
    EmulatedRetryFleet fleet(8, 1);
    fleet.requestsPerSecond = 10;
    fleet.run(Time(20'000));
    killInSeries(fleet, 8);
    fleet.run(Time(10'000));
    CHECK(fleet.worstRatio() <= 1);
}

TEST_CASE("daemons that hear nobody don't each take the fleet's slack for repeated sends")
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

TEST_CASE("repeated sends keep to the fleet's budget whatever dies, freezes, is lost or cut off")
{
    // RETRY_SEEDS plays more.
    double worst = 0;
    for (std::uint64_t seed = 1; seed <= seedsToPlay(); ++seed) {
        DeterministicRandom draw(seed);
        const std::size_t daemons = 1 + draw.next() % 40;
        EmulatedRetryFleet fleet(daemons, seed);
        fleet.run(Time(3000));
        for (int turn = 0; turn < 12; ++turn) {
            fleet.requestsPerSecond = 1 + draw.next() % 60;
            play(fleet, static_cast<Harm>(draw.next() % Harms));
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

TEST_CASE("a calm fleet uses most of its budget for repeated sends")
{
    EmulatedRetryFleet fleet(8, 1);
    fleet.requestsPerSecond = 20;
    fleet.run(Time(60'000));
    CHECK(fleet.worstRatio() <= 1);
    CHECK(fleet.repeatedPart() >= EmulatedRetryFleet::Ratio / 2);
}
