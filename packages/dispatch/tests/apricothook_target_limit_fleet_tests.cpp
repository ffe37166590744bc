#include <apricothook_emulated_target_limits.hpp>

#include <doctest/doctest.h>

#include <cstdlib>

using namespace Apricothook;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** More than any limit of these tests, so that requests always wait. */
constexpr double Surge = 200;
constexpr std::size_t FleetSizes[] {9, 84, 320};

std::uint64_t seedCount()
{
    constexpr std::uint64_t DefaultSeeds = 20;
    const char *wanted = std::getenv("TARGET_LIMIT_SEEDS");
    return wanted ? std::strtoull(wanted, nullptr, 10) : DefaultSeeds;
}

/** A calm fleet whose daemons know each other, before a target without a limit. */
void warmUp(EmulatedTargetLimits &fleet)
{
    fleet.run(seconds(6), 0);
    fleet.run(seconds(1), Surge);
}

} // namespace

TEST_CASE("the budget of a target's limit stays within the bound, however low the limit is")
{
    const FleetBounds bounds;
    const double window = std::chrono::duration<double>(bounds.targetLimitWindow).count();
    for (const double limit : {0.0, 0.01, 0.5, 1.0, 3.6, 400.0}) {
        CAPTURE(limit);
        const UnitBudget budget = targetBudget(limit, bounds);
        const double life = std::chrono::duration<double>(budget.grantLifetime).count();
        const double most = budget.bucket + budget.perSecond * (window + 2 * life) + budget.credit
            + budget.creditPerSecond * window;
        CHECK(most <= limit * window * (1 + bounds.targetLimitOvershoot) + bounds.targetLimitSlack
                  + 1e-9);
        CHECK(budget.perSecond >= limit);
        CHECK(budget.perSecond > 0);
    }
}

TEST_CASE("a target gets its limit from fleets of any size, and no more")
{
    // Each daemon learns the limit at another time and could use all of it by itself.
    for (const std::size_t daemons : FleetSizes) {
        for (const double limit : {0.5, 3.6, 40.0}) {
            CAPTURE(daemons);
            CAPTURE(limit);
            EmulatedTargetLimits fleet(daemons, 7);
            warmUp(fleet);
            fleet.setLimit(limit);
            fleet.run(seconds(6), Surge);
            const Instant calm = fleet.now();
            fleet.run(seconds(20), Surge);
            CHECK(fleet.worstRatio() <= 1);
            CHECK(static_cast<double>(fleet.arrivedSince(calm)) >= 0.9 * 20 * limit - 1);
        }
    }
}

TEST_CASE("a limited target doesn't idle if a single daemon has callers")
{
    // Fixed shares of the daemons would leave most of the limit unused.
    EmulatedTargetLimits fleet(84, 3);
    warmUp(fleet);
    fleet.setLimit(3.6);
    fleet.run(seconds(4), Surge);
    fleet.setCallers({17});
    fleet.run(seconds(1), Surge);
    const Instant calm = fleet.now();
    fleet.run(seconds(20), Surge);
    CHECK(static_cast<double>(fleet.arrivedSince(calm)) >= 0.9 * 20 * 3.6);
    CHECK(fleet.worstRatio() <= 1);
}

TEST_CASE("all daemons know a target's limit soon, also those that have just started")
{
    for (const std::size_t daemons : FleetSizes) {
        CAPTURE(daemons);
        EmulatedTargetLimits fleet(daemons, 5);
        warmUp(fleet);
        fleet.setLimit(3.6);
        fleet.run(seconds(1), Surge);
        CHECK(fleet.informed() == daemons);
        fleet.restartDaemon(1);
        fleet.run(seconds(3), Surge);
        CHECK(fleet.informed() == daemons);
    }
}

TEST_CASE("a lowered limit holds, and a raised or ended one is used soon")
{
    for (const std::size_t daemons : FleetSizes) {
        CAPTURE(daemons);
        EmulatedTargetLimits fleet(daemons, 11);
        warmUp(fleet);
        for (const double limit : {12.0, 3.6, 0.5, 20.0}) {
            CAPTURE(limit);
            fleet.setLimit(limit);
            fleet.run(seconds(6), Surge);
            const Instant calm = fleet.now();
            fleet.run(seconds(6), Surge);
            CHECK(static_cast<double>(fleet.arrivedSince(calm)) >= 0.85 * 6 * limit - 1);
        }
        fleet.setLimit(std::nullopt);
        fleet.run(seconds(2), Surge);
        const Instant calm = fleet.now();
        fleet.run(seconds(2), Surge);
        CHECK(static_cast<double>(fleet.arrivedSince(calm)) >= 0.95 * 2 * Surge);
        CHECK(fleet.worstRatio() <= 1);
    }
}

TEST_CASE("a target that takes no requests is tried again now and then")
{
    // Without a request there would be no answer that could raise or end the limit.
    EmulatedTargetLimits fleet(9, 13);
    warmUp(fleet);
    fleet.setLimit(0.0);
    fleet.run(seconds(20), Surge);
    const Instant calm = fleet.now();
    fleet.run(seconds(20), Surge);
    CHECK(fleet.arrivedSince(calm) >= 2);
    CHECK(fleet.worstRatio() <= 1);
    fleet.setLimit(std::nullopt);
    fleet.run(seconds(14), Surge);
    const Instant ended = fleet.now();
    fleet.run(seconds(1), Surge);
    CHECK(static_cast<double>(fleet.arrivedSince(ended)) >= 0.95 * Surge);
}

TEST_CASE("a limit doesn't apply to the next instance of a target")
{
    EmulatedTargetLimits fleet(9, 17);
    warmUp(fleet);
    fleet.setLimit(0.5);
    fleet.run(seconds(5), Surge);
    fleet.restartTarget();
    fleet.run(seconds(1), Surge);
    const Instant calm = fleet.now();
    fleet.run(seconds(2), Surge);
    CHECK(static_cast<double>(fleet.arrivedSince(calm)) >= 0.95 * 2 * Surge);
}

namespace {

enum class Fault {
    None,
    SomeDie,
    AllDie,
    GrantorFreezes,
    Loss,
    Partition,
    Isolated,
    CutOffFromTarget,
    TargetRestarts,
    LimitChanges,
    LimitEnds
};

constexpr std::size_t Faults = 11;

/** Injects the fault and reverts it after some seconds. */
void injectFault(EmulatedTargetLimits &fleet, Fault fault, double requestsPerSecond)
{
    EmulatedLimits &network = fleet.fleet();
    const std::size_t size = network.size();
    const std::size_t at = network.random.next() % size;
    std::vector<std::size_t> killed;
    const auto split = [size, at](std::size_t daemon) { return (daemon + at) % size < size / 2; };
    switch (fault) {
    case Fault::None:
        break;
    case Fault::SomeDie:
        for (std::size_t daemon = at % 3; daemon < size; daemon += 3)
            killed.push_back(daemon);
        break;
    case Fault::AllDie:
        for (std::size_t daemon = 0; daemon < size; ++daemon)
            killed.push_back(daemon);
        break;
    case Fault::GrantorFreezes:
        fleet.setFrozen(at, true);
        break;
    case Fault::Loss:
        network.network.lossRate = 0.05;
        network.network.duplicationRate = 0.02;
        break;
    case Fault::Partition:
        network.network.isCut
            = [split](std::size_t from, std::size_t to) { return split(from) != split(to); };
        break;
    case Fault::Isolated:
        network.network.isCut = [at](std::size_t from, std::size_t to) {
            return from != to && (from == at || to == at);
        };
        break;
    case Fault::CutOffFromTarget:
        fleet.setCutOffFromTarget(at, true);
        break;
    case Fault::TargetRestarts:
        fleet.restartTarget();
        break;
    case Fault::LimitChanges:
        fleet.setLimit(0.5 + static_cast<double>(network.random.next() % 80) / 10);
        break;
    case Fault::LimitEnds:
        fleet.setLimit(std::nullopt);
        break;
    }
    for (const std::size_t daemon : killed)
        fleet.killDaemon(daemon);
    fleet.run(milliseconds(500 + network.random.next() % 4000), requestsPerSecond);
    for (const std::size_t daemon : killed)
        fleet.restartDaemon(daemon);
    fleet.setFrozen(at, false);
    fleet.setCutOffFromTarget(at, false);
    network.network.lossRate = 0;
    network.network.duplicationRate = 0;
    network.network.isCut = nullptr;
}

} // namespace

TEST_CASE("a target's limit holds under faults of daemons, links and targets in sequence")
{
    // TARGET_LIMIT_SEEDS sets the number of seeds.
    double worst = 0;
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        DeterministicRandom draw(seed);
        const std::size_t daemons = draw.next() % 10 == 0 ? 84 : 2 + draw.next() % 19;
        EmulatedTargetLimits fleet(daemons, seed);
        fleet.fleet().network.silenceTimeout = milliseconds(1000 + draw.next() % 4000);
        fleet.run(seconds(6), 0);
        const double requests = 5 + static_cast<double>(draw.next() % 200);
        for (int round = 0; round < 6; ++round) {
            if (draw.next() % 2 == 0)
                fleet.setLimit(0.5 + static_cast<double>(draw.next() % 60) / 10);
            fleet.run(milliseconds(draw.next() % 5000), requests);
            injectFault(fleet, static_cast<Fault>(draw.next() % Faults), requests);
        }
        fleet.run(seconds(3), requests);
        CAPTURE(seed);
        CAPTURE(daemons);
        CHECK(fleet.worstRatio() <= 1);
        worst = std::max(worst, fleet.worstRatio());
    }
    MESSAGE("worst ratio to the bound " << worst);
}
