#include <apricothook_emulated_suspects.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <numeric>
#include <vector>

using namespace Apricothook;

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/** Crash of a part from which on its sends count, and the time until they do. */
constexpr std::size_t Fifth = 5;
constexpr seconds StableTime {3};
/** Sends of a calm fleet that count. */
constexpr std::size_t CalmSends = 1;
/** Sends that count under faults. */
constexpr std::size_t MaximumSends = 3;
/** From this time after the fifth crash on, requests that share other parts are served as before.
 */
constexpr seconds SharersTime {6};
constexpr double ServedEarly = 0.8;
constexpr double Served = 0.95;

constexpr std::uint64_t Everybodys = 1;
constexpr std::uint64_t Popular = 2;
constexpr std::uint64_t Rare = 3;
constexpr std::uint64_t Bad = 4;
constexpr std::uint64_t AlsoBad = 5;

/** A fleet that serves sound requests, all with one first part. */
struct PartFleet : EmulatedSuspects
{
    PartFleet(std::size_t daemons, std::size_t targets, std::uint64_t seed)
        : EmulatedSuspects(daemons, targets, seed)
    {
        run(seconds(6));
        sound = {addFresh(20, {Everybodys, Popular}), addFresh(2, {Everybodys, Rare}),
                 addFresh(10, {Everybodys})};
        run(seconds(4));
        setCrashingPart(Bad, true);
        setCrashingPart(AlsoBad, true);
        began = now();
    }

    /** When requests that share other parts must be served as before. */
    Instant settled(std::uint64_t crashing) const
    {
        const std::size_t last = std::min(crashes(crashing), Fifth);
        return crashTime(crashing, last) + SharersTime;
    }
    std::size_t lateSends(std::uint64_t crashing) const
    {
        return sendsAfterCrash(crashing, Fifth, StableTime);
    }
    /** Share of the sound requests that were answered; both times must be in the past. */
    double served(Instant from, Instant to) const
    {
        std::size_t answered = 0;
        std::size_t refused = 0;
        for (const std::uint64_t each : sound) {
            answered += answeredSince(each, from) - answeredSince(each, to);
            refused += refusedSince(each, from) - refusedSince(each, to);
        }
        return static_cast<double>(answered) / static_cast<double>(answered + refused);
    }
    void checkServed(std::uint64_t crashing) const
    {
        CHECK(served(began, settled(crashing)) >= ServedEarly);
        CHECK(served(settled(crashing), now()) >= Served);
    }

    std::vector<std::uint64_t> sound;
    Instant began {};
};

} // namespace

TEST_CASE("requests that share a part of their prompts and crash targets are stopped")
{
    // Guards against a suspicion that knows whole requests only, while no two of them are alike.
    for (const std::size_t daemons : {9, 84, 320}) {
        for (const std::size_t targets : {3, 12, 600}) {
            for (const bool isFirst : {false, true}) {
                CAPTURE(daemons);
                CAPTURE(targets);
                CAPTURE(isFirst);
                // The largest fleet takes long, and the place of the part doesn't depend on it.
                if (daemons == 320 && isFirst)
                    continue;
                PartFleet fleet(daemons, targets, 7);
                using Parts = std::vector<std::uint64_t>;
                const std::uint64_t crashing
                    = fleet.addFresh(5, isFirst ? Parts {Bad, Popular} : Parts {Everybodys, Bad});
                fleet.run(seconds(20));
                REQUIRE(fleet.crashes(crashing) > 0);
                CHECK(fleet.lateSends(crashing) <= CalmSends);
                fleet.checkServed(crashing);
            }
        }
    }
}

TEST_CASE("two parts that crash targets at the same time are both stopped")
{
    // Guards against parts that explain each other's crashes.
    for (const std::size_t targets : {12, 40}) {
        CAPTURE(targets);
        PartFleet fleet(9, targets, 11);
        const std::uint64_t one = fleet.addFresh(5, {Everybodys, Bad});
        const std::uint64_t other = fleet.addFresh(5, {Everybodys, AlsoBad});
        fleet.run(seconds(30));
        CHECK(fleet.lateSends(one) <= MaximumSends);
        CHECK(fleet.lateSends(other) <= MaximumSends);
        const Instant calm = fleet.now();
        fleet.run(seconds(5));
        CHECK(fleet.served(calm, fleet.now()) >= Served);
    }
}

TEST_CASE("the bound of a suspect part holds though no crash and no trial is announced")
{
    // Guards against sends by daemons that haven't heard what others know.
    PartFleet fleet(9, 12, 13);
    fleet.fleet().network.isLost = [](const LimitMessage &message) {
        const auto *notice = std::get_if<CrashNotice>(&message);
        return notice && notice->isAnnouncement;
    };
    const std::uint64_t crashing = fleet.addFresh(5, {Everybodys, Bad});
    fleet.run(minutes(1));
    CHECK(fleet.crashes(crashing) > 0);
    CHECK(fleet.lateSends(crashing) <= MaximumSends);
}

TEST_CASE("daemons that all start anew send few requests with a part that crashes targets")
{
    // Guards against a count that begins anew when no daemon is left that remembers.
    for (const std::uint64_t seed : {17, 19, 23}) {
        CAPTURE(seed);
        PartFleet fleet(9, 12, seed);
        const std::uint64_t crashing = fleet.addFresh(5, {Everybodys, Bad});
        fleet.run(seconds(8));
        for (std::size_t daemon = 0; daemon < 9; ++daemon)
            fleet.killDaemon(daemon);
        fleet.run(milliseconds(600));
        for (std::size_t daemon = 0; daemon < 9; ++daemon)
            fleet.restartDaemon(daemon);
        // Daemons that have just started aren't bound for StableTime.
        const Instant bound = fleet.now() + StableTime;
        fleet.run(seconds(30));
        CHECK(fleet.sendsSince(crashing, bound) <= MaximumSends);
        const Instant calm = fleet.now();
        fleet.run(seconds(5));
        CHECK(fleet.served(calm, fleet.now()) >= Served);
    }
}

TEST_CASE("a part that no longer crashes targets is served again within five minutes")
{
    PartFleet fleet(9, 12, 29);
    const std::uint64_t crashing = fleet.addFresh(5, {Everybodys, Bad});
    fleet.run(seconds(30));
    fleet.setCrashingPart(Bad, false);
    fleet.run(minutes(5));
    const Instant calm = fleet.now();
    fleet.run(seconds(10));
    CHECK(fleet.refusedSince(crashing, calm) == 0);
    CHECK(fleet.answeredSince(crashing, calm) >= 45);
}

TEST_CASE("a customer's part isn't refused because another customer's requests name it")
{
    // Guards against requests that crash targets for a reason of their own and name others' parts.
    constexpr std::uint64_t OtherCustomer = 2;
    PartFleet fleet(9, 40, 31);
    const std::uint64_t crashing = fleet.addFresh(5, {Everybodys, Bad, Rare});
    fleet.setCustomer(crashing, OtherCustomer);
    const std::uint64_t victim = fleet.addFresh(0.2, {Rare});
    fleet.run(minutes(1));
    CHECK(fleet.refusedSince(victim, fleet.began + seconds(10)) <= 1);
    CHECK(fleet.answeredSince(victim, fleet.began + seconds(10)) >= 8);
}

TEST_CASE("sound requests are served as soon as targets that crashed at once are back")
{
    // Guards against popular parts whose requests all wait for one trial.
    for (const std::size_t targets : {12, 600}) {
        CAPTURE(targets);
        PartFleet fleet(84, targets, 37);
        fleet.setLongestRestart(seconds(1));
        for (int round = 0; round < 3; ++round) {
            std::vector<std::size_t> all(targets);
            std::iota(all.begin(), all.end(), std::size_t {0});
            fleet.crashTargets(all);
            fleet.run(seconds(2));
            const Instant back = fleet.now();
            fleet.run(seconds(3));
            CHECK(fleet.served(back, fleet.now()) >= Served);
        }
    }
}

TEST_CASE("the bound of a suspect part holds while daemons die, freeze and start anew")
{
    // PART_SEEDS sets the number of seeds.
    constexpr std::uint64_t DefaultSeeds = 10;
    const char *wanted = std::getenv("PART_SEEDS");
    const std::uint64_t seeds = wanted ? std::strtoull(wanted, nullptr, 10) : DefaultSeeds;
    std::size_t worst = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        DeterministicRandom draw(seed);
        const std::size_t daemons = 4 + draw.next() % 17;
        PartFleet fleet(daemons, draw.next() % 2 == 0 ? 6 : 40, seed);
        const double rate = 1 + static_cast<double>(draw.next() % 20);
        const std::uint64_t crashing = draw.next() % 2 == 0
            ? fleet.addFresh(rate, {Everybodys, Bad})
            : fleet.addFresh(rate, {Bad, Popular, Rare});
        LimitNetwork &network = fleet.fleet().network;
        for (int round = 0; round < 6; ++round) {
            fleet.run(milliseconds(draw.next() % 4000));
            const std::size_t at = draw.next() % daemons;
            const std::uint64_t fault = draw.next() % 5;
            if (fault == 0)
                fleet.killDaemon(at);
            else if (fault == 1)
                fleet.setFrozen(at, true);
            else if (fault == 2)
                network.lossRate = 0.2;
            else if (fault == 3)
                fleet.crashTargets({0, 1, 2});
            fleet.run(milliseconds(500 + draw.next() % 3000));
            if (fault == 0)
                fleet.restartDaemon(at);
            fleet.setFrozen(at, false);
            network.lossRate = 0;
        }
        fleet.run(seconds(20));
        CHECK(fleet.lateSends(crashing) <= MaximumSends);
        worst = std::max(worst, fleet.lateSends(crashing));
        const Instant calm = fleet.now();
        fleet.run(seconds(5));
        CHECK(fleet.served(calm, fleet.now()) >= Served);
    }
    MESSAGE("most late sends " << worst);
}
