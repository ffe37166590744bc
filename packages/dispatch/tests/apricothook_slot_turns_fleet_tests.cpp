#include "apricothook_emulated_turns.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace Apricothook;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t Contenders = 10;
/** The daemon whose requests occupy the target at first. */
constexpr std::size_t Holder = Contenders;
constexpr std::uint32_t Slots = 6;
/** Time after which a freed slot is known to the other daemons. */
constexpr milliseconds Notice = EmulatedTurnFleet::ReportDelay + EmulatedTurnFleet::Transmission;

/** Ten daemons with two requests waiting each, and one that has filled the target. */
EmulatedTurnFleet fullFleet()
{
    EmulatedTurnFleet fleet(Contenders + 1, Slots);
    for (std::uint32_t slot = 0; slot < Slots; ++slot)
        fleet.offer(Holder);
    fleet.run(milliseconds(100));
    for (std::size_t daemon = 0; daemon < Contenders; ++daemon) {
        fleet.offer(daemon);
        fleet.offer(daemon);
    }
    fleet.run(milliseconds(200));
    REQUIRE(fleet.placedByOthers(Holder) == 0);
    return fleet;
}

/** Time until the step that places a request; `longest` if none does. */
milliseconds timeToFill(EmulatedTurnFleet &fleet, milliseconds longest)
{
    for (milliseconds passed {}; passed < longest; ++passed) {
        fleet.run(milliseconds(1));
        if (fleet.placedByOthers(Holder) > 0)
            return passed;
    }
    return longest;
}

} // namespace

TEST_CASE("at most two of ten daemons with waiting requests fill a slot that was reported free")
{
    // Without turns all ten would fill it before they receive each other's reports, and nine
    // requests would queue at the engine.
    EmulatedTurnFleet fleet = fullFleet();
    fleet.finish(Holder);
    CHECK(timeToFill(fleet, milliseconds(1000)) <= Notice);
    fleet.run(milliseconds(1000));
    CHECK(fleet.placedByOthers(Holder) <= 2);
}

TEST_CASE("slots that become free together are all filled as soon as they are known")
{
    // Each daemon has two requests waiting. If it filled two of the four slots while the others do
    // the same, three requests would queue at the engine.
    EmulatedTurnFleet fleet = fullFleet();
    for (int slot = 0; slot < 4; ++slot)
        fleet.finish(Holder);
    fleet.run(Notice + milliseconds(1));
    CHECK(fleet.placedByOthers(Holder) >= 4);
    fleet.run(milliseconds(1000));
    CHECK(fleet.placedByOthers(Holder) <= 5);
}

TEST_CASE("a slot that the first daemons in order leave is filled in a later turn")
{
    // The first three no longer have requests, which the others learn 30 ms later. A slot must not
    // stay idle for longer than their turns.
    EmulatedTurnFleet fleet = fullFleet();
    const std::vector<std::size_t> order = fleet.order(Holder);
    fleet.finish(Holder);
    fleet.run(milliseconds(20));
    for (std::size_t place = 0; place < 3; ++place) {
        const std::uint64_t first = Slots + 2 * order[place] + 1;
        fleet.cancel(order[place], first);
        fleet.cancel(order[place], first + 1);
    }
    CHECK(timeToFill(fleet, milliseconds(1000)) <= Notice + 3 * SlotTurns::TurnLength);
    fleet.run(milliseconds(1000));
    CHECK(fleet.placedByOthers(Holder) <= 2);
}

TEST_CASE("a daemon fills the slot that its own request has freed at once")
{
    // No other daemon knows of the slot until the next report, so that waiting would gain nothing.
    EmulatedTurnFleet fleet = fullFleet();
    fleet.offer(Holder);
    fleet.run(milliseconds(100));
    RecordedDecisions &decisions = fleet.daemon(Holder).placements;
    REQUIRE(decisions.placed.size() == Slots);
    fleet.finish(Holder);
    CHECK(decisions.placed.size() == Slots + 1);
    CHECK(decisions.lastFill.cause == SlotFillCause::OwnSlot);
    fleet.run(milliseconds(1000));
    CHECK(fleet.placedByOthers(Holder) == 0);
}

TEST_CASE("a lone daemon and one whose peers have nothing waiting fill all slots at once")
{
    // Turns that no other daemon takes would leave the slots idle.
    for (const std::size_t daemons : {std::size_t(1), Contenders}) {
        EmulatedTurnFleet fleet(daemons, Slots);
        for (std::uint32_t slot = 0; slot < Slots; ++slot)
            fleet.offer(0);
        CHECK(fleet.daemon(0).placements.placed.size() == Slots);
        if (daemons == 1)
            continue;
        // Slots that another daemon has freed are open at once too.
        fleet.run(milliseconds(100));
        fleet.offer(1);
        fleet.offer(1);
        fleet.run(milliseconds(100));
        REQUIRE(fleet.daemon(1).placements.placed.empty());
        fleet.finish(0);
        fleet.finish(0);
        fleet.run(Notice + milliseconds(1));
        CHECK(fleet.daemon(1).placements.placed.size() == 2);
        CHECK(fleet.daemon(1).placements.lastFill.cause == SlotFillCause::Unrestricted);
    }
}

TEST_CASE("lost reports lengthen the wait by some turns only")
{
    EmulatedTurnFleet fleet = fullFleet();
    const std::vector<std::size_t> order = fleet.order(Holder);
    SUBCASE("the first three daemons in order don't learn that the slot is free")
    {
        fleet.setLoss([&](std::size_t from, std::size_t to) {
            return from == Holder && std::ranges::find(order, to) < order.begin() + 3;
        });
        fleet.finish(Holder);
        CHECK(timeToFill(fleet, milliseconds(900)) <= Notice + 3 * SlotTurns::TurnLength);
        fleet.run(milliseconds(100));
        CHECK(fleet.placedByOthers(Holder) == 1);
    }
    SUBCASE("the second daemon doesn't learn that the first has filled the slot")
    {
        fleet.setLoss(
            [&](std::size_t from, std::size_t to) { return from == order[0] && to == order[1]; });
        fleet.finish(Holder);
        fleet.run(milliseconds(900));
        CHECK(fleet.placedByOthers(Holder) == 2);
    }
    SUBCASE("a third of all reports is lost")
    {
        std::mt19937_64 random(20261204);
        fleet.setLoss([&](std::size_t, std::size_t) { return random() % 3 == 0; });
        fleet.finish(Holder);
        CHECK(timeToFill(fleet, milliseconds(1000)) <= Notice + Contenders * SlotTurns::TurnLength);
    }
}
