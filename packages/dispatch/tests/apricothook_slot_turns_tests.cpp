#include "apricothook_dispatch_bench.hpp"

#include <apricothook/dispatch/apricothook_slot_turns.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>
#include <set>
#include <vector>

using namespace Apricothook;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t Target = 77;
constexpr std::uint64_t Daemons = 10;
const Instant Freed(std::chrono::seconds(1000));

/** The other daemons, from the view of `self`. */
std::vector<std::uint64_t> othersOf(std::uint64_t self)
{
    std::vector<std::uint64_t> members(Daemons);
    std::iota(members.begin(), members.end(), 1);
    std::erase(members, self);
    return members;
}

/** Daemons to which the slots are open at the given time after they became free. */
std::uint64_t countOpen(std::uint32_t freeSlots, Duration after)
{
    std::uint64_t open = 0;
    for (std::uint64_t self = 1; self <= Daemons; ++self)
        open += SlotTurns(self).isOpen(Target, freeSlots, Freed, othersOf(self), Freed + after);
    return open;
}

/** A target with one slot, and a member that is before this daemon in the target's order. */
struct ContendedBench : DispatchBench
{
    static constexpr std::uint64_t Self = 1;

    explicit ContendedBench(const ColdTargetLimiter &cold = ColdTargetLimiter(),
                            const PolicySwitches &policies = {})
        : DispatchBench(cold, Self, policies)
    {
        addTarget("t", 1);
        while (SlotTurns(Self).isOpen(target, 1, Freed, {member}, Freed))
            ++member;
    }
    void occupyTarget() { targets.setMemberLoad(member, {{target, 1}}, clock.now()); }
    /** The member reports the free slot, and a waiting request of the given tier. */
    void freeTarget(std::uint8_t tier)
    {
        targets.setMemberLoad(member, {}, clock.now());
        dispatcher.setMemberQueueLengths(member,
                                         {{serviceHash(Service), {Tier(1), Tier(tier)}, 1}});
        dispatcher.review(clock.now());
    }
    /** Submits a request that may wait for some turns. */
    void offerPatiently(std::uint8_t tier)
    {
        QueuedRequest patient = request(1, tier);
        patient.objective = std::chrono::seconds(5);
        dispatcher.submit(patient, clock.now());
    }

    const std::uint64_t target = targetHash({TargetId("t")});
    std::uint64_t member = Self + 1;
};

} // namespace

TEST_CASE("a slot opens to one more daemon in each turn")
{
    // If all ten daemons filled the one slot, nine requests would queue at the engine.
    for (std::uint64_t turn = 0; turn < Daemons; ++turn) {
        CHECK(countOpen(1, SlotTurns::TurnLength * turn) == turn + 1);
        CHECK(countOpen(1, SlotTurns::TurnLength * (turn + 1) - Duration(1)) == turn + 1);
    }
    CHECK(countOpen(1, std::chrono::minutes(1)) == Daemons);
}

TEST_CASE("as many daemons as there are free slots need not wait")
{
    // Slots that are open to fewer daemons than there are slots would stay idle.
    CHECK(countOpen(3, Duration::zero()) == 3);
    CHECK(countOpen(3, SlotTurns::TurnLength) == 4);
    CHECK(countOpen(Daemons, Duration::zero()) == Daemons);
}

TEST_CASE("a daemon that filled a slot has its next turn after all contenders")
{
    // The others fill slots at the same time, and their reports are still on the way.
    const std::uint64_t member = SlotTurns(1).isOpen(Target, 1, Freed, {2}, Freed) ? 1 : 2;
    const SlotTurns first(member);
    const std::vector<std::uint64_t> other {3 - member};
    CHECK(first.opensAt(Target, 3, Freed, other, 1) == Freed);
    CHECK(first.opensAt(Target, 2, Freed, other, 2) == Freed + SlotTurns::TurnLength);
}

TEST_CASE("a slot is open at once to a daemon without contenders")
{
    CHECK(SlotTurns(1).isOpen(Target, 1, Freed, {}, Freed));
}

TEST_CASE("the slots of different targets open to different daemons first")
{
    // A daemon that was first at every target would take all capacity from the others.
    std::set<std::uint64_t> first;
    for (std::uint64_t target = 1; target <= 100; ++target) {
        for (std::uint64_t self = 1; self <= Daemons; ++self) {
            if (SlotTurns(self).isOpen(target, 1, Freed, othersOf(self), Freed))
                first.insert(self);
        }
    }
    CHECK(first.size() == Daemons);
}

TEST_CASE("a slot that an own request freed is reserved until the next report")
{
    FreedSlots slots;
    slots.update(1, SlotChange::OwnRequest, Freed);
    CHECK(slots.reserved() == 1);
    CHECK_FALSE(slots.firstSharedSince());
    slots.recordReport(Freed + milliseconds(25));
    CHECK(slots.reserved() == 0);
    CHECK(slots.firstSharedSince() == Freed + milliseconds(25));
}

TEST_CASE("the slot that has been free longest counts as filled first")
{
    // The turns of a slot that has just become free must not be those of a slot filled long ago.
    FreedSlots slots;
    slots.update(1, SlotChange::MemberReport, Freed);
    slots.update(2, SlotChange::MemberReport, Freed + milliseconds(20));
    CHECK(slots.firstSharedSince() == Freed);
    slots.update(1, SlotChange::MemberReport, Freed + milliseconds(30));
    CHECK(slots.firstSharedSince() == Freed + milliseconds(20));
    slots.update(2, SlotChange::OwnRequest, Freed + milliseconds(40));
    SUBCASE("a request of this daemon fills the slot that only this daemon knows of")
    {
        slots.update(1, SlotChange::OwnRequest, Freed + milliseconds(41));
        CHECK(slots.reserved() == 0);
    }
    SUBCASE("a request of another daemon fills a slot that this one knows of")
    {
        slots.update(1, SlotChange::MemberReport, Freed + milliseconds(41));
        CHECK(slots.reserved() == 1);
        CHECK(slots.shared() == 0);
    }
    SUBCASE("all slots are filled")
    {
        slots.update(0, SlotChange::MemberReport, Freed + milliseconds(41));
        CHECK(slots.reserved() + slots.shared() == 0);
    }
}

TEST_CASE("slots of a target that has just become known are open at once")
{
    // A daemon that has just started knows no target's history; its callers must not wait for it.
    FreedSlots slots;
    slots.update(2, SlotChange::Assignment, Freed);
    CHECK(slots.firstSharedSince() == Instant {});
}

TEST_CASE("a member counts as a contender only if its requests don't rank below")
{
    ContendedBench bench;
    bench.occupyTarget();
    bench.offerPatiently(2);
    REQUIRE(bench.dispatcher.waiting() == 1);
    SUBCASE("of the same rank")
    {
        bench.freeTarget(2);
        CHECK(bench.placements.placed.empty());
        // Without a review at the beginning of the turn, the slot would stay idle.
        CHECK(bench.dispatcher.nextReview(bench.clock.now())
              == bench.clock.now() + SlotTurns::TurnLength);
        bench.clock.advance(SlotTurns::TurnLength);
        bench.dispatcher.review(bench.clock.now());
        REQUIRE(bench.placements.placed.size() == 1);
        CHECK(bench.placements.lastFill.cause == SlotFillCause::LaterTurn);
        CHECK(bench.placements.lastFill.turnWait == SlotTurns::TurnLength);
    }
    SUBCASE("of a lower rank")
    {
        bench.freeTarget(3);
        CHECK(bench.placements.placed.size() == 1);
        CHECK(bench.placements.lastFill.cause == SlotFillCause::Unrestricted);
    }
    SUBCASE("that fell silent")
    {
        bench.freeTarget(2);
        REQUIRE(bench.placements.placed.empty());
        bench.dispatcher.setMemberQueueLengths(bench.member, {});
        bench.dispatcher.review(bench.clock.now());
        CHECK(bench.placements.placed.size() == 1);
    }
}

TEST_CASE("a request waits for no turn at a target that knows none")
{
    // Brittle targets are divided into shares and cold ones have a limit of sends for each daemon;
    // turns would leave these unused.
    SUBCASE("a brittle target")
    {
        ContendedBench bench;
        bench.occupyTarget();
        bench.freeTarget(1);
        bench.targets.setBrittle(bench.target, 5);
        REQUIRE(bench.targets.find(TargetId("t"))->hasOwnShare);
        bench.offerPatiently(1);
        CHECK(bench.placements.placed.size() == 1);
    }
    SUBCASE("a cold target whose service limits the requests to it")
    {
        FleetBounds bounds;
        bounds.coldOvershoot = 1.5;
        bounds.coldSlack = 5;
        ContendedBench bench(ColdTargetLimiter(ContendedBench::Self, bounds));
        ServiceRule rule;
        rule.name = Service;
        rule.coldTime = std::chrono::seconds(3);
        rule.coldPerSecond = 12;
        bench.targets.setServices({rule}, bench.clock.now());
        TargetEntry entry = bench.entryOf("t", 1);
        entry.remainingColdTime = rule.coldTime;
        bench.targets.put(entry, bench.clock.now());
        REQUIRE(bench.targets.find(TargetId("t"))->isCold);
        bench.occupyTarget();
        bench.freeTarget(1);
        bench.offerPatiently(1);
        CHECK(bench.placements.placed.size() == 1);
    }
    SUBCASE("any target if the policy is off")
    {
        ContendedBench bench(ColdTargetLimiter(), policiesWithout({"slot-turns"}).value());
        bench.occupyTarget();
        bench.freeTarget(1);
        bench.offerPatiently(1);
        CHECK(bench.placements.placed.size() == 1);
    }
}
