#include "apricothook_dispatch_bench.hpp"

#include <apricothook/dispatch/apricothook_unit_budget.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>

using namespace Apricothook;

namespace {

constexpr Instant Start {std::chrono::seconds(100)};
constexpr std::chrono::seconds Settling {2};

std::vector<std::uint64_t> membersUpTo(std::size_t count)
{
    std::vector<std::uint64_t> members(count);
    std::iota(members.begin(), members.end(), std::uint64_t {0});
    return members;
}

/** The shares of all daemons, each with its own view of the members. */
std::vector<SlotShares> daemons(std::size_t count)
{
    std::vector<SlotShares> all;
    for (const std::uint64_t member : membersUpTo(count))
        all.emplace_back(member);
    return all;
}

std::uint32_t total(const std::vector<SlotShares> &all, std::uint64_t target, std::uint32_t slots)
{
    return std::accumulate(all.begin(), all.end(), 0U, [&](std::uint32_t sum, const auto &one) {
        return sum + one.share(target, slots);
    });
}

struct BrittleBench : DispatchBench
{
    explicit BrittleBench(std::size_t fleet)
    {
        targets.setShareMembers(membersUpTo(fleet), Settling, clock.now());
        clock.advance(Settling);
        targets.setShareMembers(membersUpTo(fleet), Settling, clock.now());
    }
    std::uint64_t hash(const std::string &id) const { return targetHash({TargetId(id)}); }
};

} // namespace

TEST_CASE("the shares of a target's slots add up to its slots, in fleets of any size")
{
    for (const std::size_t count : {1U, 9U, 84U, 320U}) {
        std::vector<SlotShares> all = daemons(count);
        for (SlotShares &one : all) {
            one.setMembers(membersUpTo(count), Settling, Start);
            one.review(Start + Settling);
        }
        for (std::uint64_t target = 0; target < 20; ++target) {
            CHECK(total(all, target, 6) == 6);
            CHECK(total(all, target, 14) == 14);
        }
    }
}

TEST_CASE("shares don't overlap while daemons learn of a change at different times")
{
    // A member joins or leaves; the others learn of it up to the settling time apart.
    for (const auto &[before, after] : {std::pair(9, 12), std::pair(12, 9), std::pair(84, 40)}) {
        std::vector<SlotShares> all = daemons(static_cast<std::size_t>(std::max(before, after)));
        for (SlotShares &one : all) {
            one.setMembers(membersUpTo(static_cast<std::size_t>(before)), Settling, Start);
            one.review(Start + Settling);
        }
        Instant now = Start + 2 * Settling;
        for (std::size_t learned = 0; learned < all.size(); ++learned) {
            all[learned].setMembers(membersUpTo(static_cast<std::size_t>(after)), Settling, now);
            now += Settling / static_cast<int>(all.size() + 1);
            for (SlotShares &one : all)
                one.review(now);
            for (std::uint64_t target = 0; target < 10; ++target)
                CHECK(total(all, target, 14) <= 14);
        }
        for (SlotShares &one : all)
            one.review(now + Settling);
        CHECK(total(all, 1, 14) == 14);
    }
}

TEST_CASE("a daemon that doesn't know the fleet has no share")
{
    SlotShares shares(1);
    CHECK(shares.share(1, 14) == 14);
    shares.setMembers({}, Settling, Start);
    CHECK(shares.share(1, 14) == 0);
    shares.setMembers(membersUpTo(2), Settling, Start);
    CHECK(shares.share(1, 14) == 0);
    shares.review(Start + Settling);
    CHECK(shares.share(1, 14) == 7);
}

TEST_CASE("brittle targets get no more than fits into the daemon's share of their slots")
{
    BrittleBench bench(4);
    bench.addTarget("a", 8);
    bench.addTarget("b", 8);
    bench.targets.setBrittle(bench.hash("a"), 3);
    CHECK(bench.targets.brittleCount() == 2);
    for (std::uint64_t id = 1; id <= 20; ++id)
        bench.offer(id);
    CHECK(bench.placements.placed.size() == 4);
    // The load that others report is in slots of their own.
    bench.targets.setMemberLoad(7, {{bench.hash("a"), 8}}, bench.clock.now());
    bench.finish("a");
    bench.offer(21);
    CHECK(bench.placements.placed.size() == 5);
    bench.targets.setBrittle(bench.hash("a"), std::nullopt);
    CHECK(bench.targets.brittleCount() == 0);
}

TEST_CASE("a brittle target that has rejected a request gets none for a second")
{
    BrittleBench bench(1);
    bench.addTarget("a", 8);
    bench.targets.setBrittle(bench.hash("a"), 3);
    bench.targets.recordFull(bench.hash("a"), bench.clock.now());
    bench.offer(1);
    CHECK(bench.placements.placed.empty());
    bench.clock.advance(std::chrono::milliseconds(1001));
    bench.offer(2);
    CHECK(bench.placements.placed.size() == 1);
}

TEST_CASE("a daemon without any slot of a brittle service needs a unit for each request")
{
    BrittleBench bench(320);
    bench.addTarget("a", 1);
    bench.targets.setBrittle(bench.hash("a"), 3);
    const TrackedTarget *target = bench.targets.find(TargetId("a"));
    REQUIRE(target->rejectionUnits);
    CHECK(*target->rejectionUnits == 3);
    CHECK(target->cellSlots == 1);
}

TEST_CASE("units of rejections never exceed what the target bears in a second")
{
    for (const double rejections : {1.0, 2.0, 3.0, 4.0, 5.0, 10.0, 50.0}) {
        const UnitBudget budget = rejectionBudget(rejections);
        CHECK(static_cast<int>(budget.bucket + budget.perSecond) <= rejections);
        CHECK(budget.credit == 0);
        CHECK(budget.needsWholeFleet);
    }
}
