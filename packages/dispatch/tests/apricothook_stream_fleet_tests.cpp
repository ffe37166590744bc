#include <apricothook_emulated_streams.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>

using namespace Apricothook;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Seeds of the test of faults in sequence; STREAM_SEEDS names another number. */
std::uint64_t seedCount()
{
    constexpr std::uint64_t DefaultSeeds = 10;
    const char *wanted = std::getenv("STREAM_SEEDS");
    return wanted ? std::strtoull(wanted, nullptr, 10) : DefaultSeeds;
}

/** A fleet whose daemons know each other and have begun streams. */
struct StreamFleet : EmulatedStreams
{
    StreamFleet(std::size_t daemons, std::uint64_t seed)
        : EmulatedStreams(daemons, streamsPerSecond(daemons), seed)
    {
        run(seconds(9));
    }
    static double streamsPerSecond(std::size_t daemons)
    {
        return std::min(4.0 * static_cast<double>(daemons), 300.0);
    }
    /** Different daemons, chosen at random. */
    std::vector<std::size_t> some(std::size_t count)
    {
        std::vector<std::size_t> chosen(size());
        for (std::size_t daemon = 0; daemon < size(); ++daemon)
            std::swap(chosen[daemon] = daemon, chosen[fleet().random.next() % (daemon + 1)]);
        chosen.resize(std::min(count, size()));
        return chosen;
    }
    void kill(const std::vector<std::size_t> &daemons)
    {
        for (const std::size_t daemon : daemons)
            killDaemon(daemon);
    }
    void restart(const std::vector<std::size_t> &daemons)
    {
        for (const std::size_t daemon : daemons)
            restartDaemon(daemon);
    }
    double fractionThatWentOn() const
    {
        return static_cast<double>(counts().wentOn)
            / static_cast<double>(std::max<std::size_t>(counts().takenUp, 1));
    }
};

/** One fault, and the smallest fraction of the streams taken up that must go on. */
struct Fault
{
    std::string name;
    double fraction;
    std::function<void(StreamFleet &fleet)> play;
};

std::vector<Fault> faults()
{
    const auto cutInHalves = [](StreamFleet &fleet, Duration time) {
        fleet.fleet().network.isCut
            = [](std::size_t from, std::size_t to) { return from % 2 != to % 2; };
        fleet.run(time);
    };
    return {
        {"callers' connections are reset", 0.97,
         [](StreamFleet &fleet) {
             for (std::size_t daemon : fleet.some(3)) {
                 fleet.resetCallers(daemon);
                 fleet.run(milliseconds(500));
             }
         }},
        {"a daemon is killed and starts anew", 0.97,
         [](StreamFleet &fleet) {
             for (std::size_t daemon : fleet.some(3)) {
                 fleet.killDaemon(daemon);
                 fleet.run(milliseconds(700));
                 fleet.restartDaemon(daemon);
                 fleet.run(milliseconds(300));
             }
         }},
        {"six daemons in ten are killed at once", 0.9,
         [](StreamFleet &fleet) {
             const std::vector<std::size_t> killed = fleet.some(fleet.size() * 6 / 10);
             fleet.kill(killed);
             fleet.run(seconds(1));
             fleet.restart(killed);
             fleet.run(seconds(2));
         }},
        {"all daemons but one stand still, and callers go to it", 0.97,
         [](StreamFleet &fleet) {
             const std::size_t spared = fleet.some(1).front();
             for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon)
                 fleet.setFrozen(daemon, daemon != spared);
             fleet.resetCallers(spared);
             fleet.run(milliseconds(800));
             for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon)
                 fleet.setFrozen(daemon, false);
             fleet.run(seconds(2));
         }},
        {"three datagrams in ten are lost, beside resets and a kill", 0.97,
         [](StreamFleet &fleet) {
             fleet.fleet().network.lossRate = 0.3;
             fleet.run(seconds(2));
             fleet.killDaemon(0);
             fleet.resetCallers(1);
             fleet.run(seconds(2));
         }},
        {"all daemons are killed", 0,
         [](StreamFleet &fleet) {
             const std::vector<std::size_t> all = fleet.some(fleet.size());
             fleet.kill(all);
             fleet.run(seconds(1));
             fleet.restart(all);
             fleet.run(seconds(3));
         }},
        {"the fleet is in halves", 0,
         [cutInHalves](StreamFleet &fleet) {
             cutInHalves(fleet, seconds(2));
             fleet.resetCallers(0);
             fleet.run(seconds(1));
         }},
    };
}

void playAtRandom(StreamFleet &fleet)
{
    const std::vector<Fault> known = faults();
    for (int fault = 0; fault < 4; ++fault) {
        known[fleet.fleet().random.next() % known.size()].play(fleet);
        fleet.fleet().network.isCut = nullptr;
        fleet.fleet().network.lossRate = 0;
        if (fleet.fleet().random.next() % 2 == 0)
            fleet.release();
        fleet.run(milliseconds(fleet.fleet().random.next() % 1500));
        for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon)
            fleet.setFrozen(daemon, false);
    }
}

} // namespace

TEST_CASE("streams that break go on at the version that began them, at any size of the fleet")
{
    for (const std::size_t daemons : {9, 84, 320}) {
        for (const Fault &fault : faults()) {
            CAPTURE(daemons);
            CAPTURE(fault.name);
            StreamFleet fleet(daemons, 7);
            fault.play(fleet);
            MESSAGE(daemons << " daemons, " << fault.name << ": " << fleet.counts().wentOn << " of "
                            << fleet.counts().takenUp << " went on");
            CHECK(fleet.counts().takenUp > 0);
            CHECK(fleet.counts().mixed == 0);
            CHECK(fleet.fractionThatWentOn() >= fault.fraction);
        }
    }
}

TEST_CASE("no stream goes on at another version while faults of all kinds follow each other")
{
    std::size_t takenUp = 0;
    std::size_t wentOn = 0;
    const std::vector<std::size_t> sizes {9, 9, 9, 9, 9, 9, 9, 9, 9, 84};
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        CAPTURE(seed);
        StreamFleet fleet(sizes[seed % sizes.size()], seed);
        playAtRandom(fleet);
        CHECK(fleet.counts().mixed == 0);
        takenUp += fleet.counts().takenUp;
        wentOn += fleet.counts().wentOn;
    }
    MESSAGE(wentOn << " of " << takenUp << " went on");
    CHECK(takenUp > 0);
}

TEST_CASE("remembering streams costs few messages at 320 daemons")
{
    // Each daemon begins 12.5 streams a second and may use 28 KB a second for all control.
    constexpr double PerDaemon = 12.5;
    constexpr std::size_t Daemons = 320;
    EmulatedStreams fleet(Daemons, PerDaemon * Daemons, 5);
    fleet.run(seconds(9));
    const std::size_t before = fleet.counts().messages;
    fleet.run(seconds(2));
    const double perSecond
        = static_cast<double>(fleet.counts().messages - before) / (2.0 * Daemons);
    MESSAGE(perSecond << " messages a daemon and second");
    // Each stream is told to its holders twice.
    CHECK(perSecond <= 2.1 * PerDaemon * StreamOriginExchange::Holders);
    std::size_t most = 0;
    for (std::size_t daemon = 0; daemon < Daemons; ++daemon)
        most = std::max(most, fleet.remembered(daemon));
    MESSAGE(most << " streams remembered at most");
    CHECK(most < 3 * PerDaemon * (1 + StreamOriginExchange::Holders)
              * static_cast<double>(EmulatedStreams::Lifetime.count()));
}
