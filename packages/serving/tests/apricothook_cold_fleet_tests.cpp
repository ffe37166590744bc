#include "apricothook_emulated_cold_fleet.hpp"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace Apricothook;
using Time = EmulatedColdFleet::Time;

namespace {

enum class Fault {
    KillOne,
    KillThird,
    KillAll,
    Freeze,
    CutOff,
    Split,
    SplitOneWay,
    Crash,
    CrashDataCentre,
    Evacuate,
    Loss,
};
constexpr int FaultKinds = 11;

void inject(EmulatedColdFleet &fleet, Fault fault)
{
    DeterministicRandom &random = fleet.random;
    const std::size_t one = random.next() % fleet.daemons();
    const Time time(500 + random.next() % 9000);
    const std::size_t dataCentre = random.next() % EmulatedColdFleet::DataCentres;
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
    case Fault::Freeze:
        return each(5, [&](std::size_t index) { fleet.freeze(index, time); });
    case Fault::CutOff:
        return each(3, [&](std::size_t index) { fleet.cutOff(index, time + Time(6000)); });
    case Fault::Split:
        return fleet.split(one, time, false);
    case Fault::SplitOneWay:
        return fleet.split(one, time, true);
    case Fault::Crash:
        return fleet.crash(random.next() % fleet.targets(), Time(300 + random.next() % 2000));
    case Fault::CrashDataCentre:
        return fleet.crashDataCentre(dataCentre, Time(1000 + random.next() % 2000));
    case Fault::Evacuate:
        return fleet.evacuate(dataCentre, time + Time(5000));
    case Fault::Loss:
        fleet.lossPerThousand = 5 + random.next() % 100;
        return;
    }
}

std::uint64_t seedCount()
{
    constexpr std::uint64_t InCi = 20;
    const char *wanted = std::getenv("COLD_SEEDS");
    return wanted ? std::strtoull(wanted, nullptr, 10) : InCi;
}

} // namespace

TEST_CASE("a cold target's bound holds whatever dies, freezes, is lost, cut off or evacuated")
{
    // Guards against overload of cold targets: a target that gets more requests in a second than it
    // can take while cold crashes again and loses all requests on it. Overlapping faults delay what
    // daemons learn of it, make their member lists differ, or cut some of them off. The environment
    // variable COLD_SEEDS sets the number of seeds.
    double worst = 0;
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        DeterministicRandom draw(seed);
        const std::size_t daemons = 1 + draw.next() % 40;
        EmulatedColdFleet fleet(daemons, 12 + draw.next() % 40, seed);
        fleet.run(Time(3000));
        for (int turn = 0; turn < 12; ++turn) {
            fleet.requestsPerSecond = 20 + draw.next() % 200;
            inject(fleet, static_cast<Fault>(draw.next() % FaultKinds));
            fleet.run(Time(draw.next() % 3000));
        }
        fleet.run(Time(6000));
        CAPTURE(seed);
        CAPTURE(daemons);
        CHECK(fleet.worstRatio() <= 1);
        CHECK(fleet.served() > 0);
        worst = std::max(worst, fleet.worstRatio());
    }
    MESSAGE("worst ratio to the bound " << worst);
}

TEST_CASE("targets of a returning data centre serve most of their capacity while cold")
{
    // Guards against cold targets that stay idle for seconds, in which callers lack the third of
    // the capacity that a data centre has. Each daemon must send to the cold targets assigned to it
    // at once.
    EmulatedColdFleet fleet(30, 30, 7);
    fleet.requestsPerSecond = 10;
    fleet.run(Time(5000));
    // All data centres crash, so that only cold targets serve requests.
    for (std::size_t dataCentre = 0; dataCentre < EmulatedColdFleet::DataCentres; ++dataCentre)
        fleet.crashDataCentre(dataCentre, Time(500));
    fleet.run(Time(2000));
    const std::size_t before = fleet.served();
    fleet.run(Time(1000));
    CHECK(fleet.served() - before >= 30 * 10 * 4 / 10);
    CHECK(fleet.worstRatio() <= 1);
}
