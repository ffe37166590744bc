#include "apricothook_fake_fleet.hpp"

#include <apricothook/membership/apricothook_membership_limits.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_SUITE_BEGIN("membership");

TEST_CASE("Daemons that start together find each other")
{
    for (const std::size_t size : {1, 2, 9, 40}) {
        CAPTURE(size);
        FakeFleet fleet(size, {3});
        fleet.form();
        for (std::size_t i = 0; i < size; ++i) {
            CHECK(fleet[i].live().size() == size);
            CHECK(fleet[i].isJoined());
            CHECK(fleet[i].visibleShare() == 1);
        }
        CHECK(fleet.events(MembershipEvent::MemberSuspected) == 0);
    }
}

TEST_CASE("A daemon finds a fleet whose seeds start later")
{
    // A VM comes up while none of its seeds answers. It must go on asking, and must not give up or
    // take itself for the whole fleet for good.
    FakeFleet fleet(4, {2});
    fleet.start(3);
    fleet.run(seconds(30));
    CHECK_FALSE(fleet[3].isJoined());
    CHECK(fleet.member(3).datagramsSent < 60);
    for (const std::size_t seed : {0, 1, 2})
        fleet.start(seed);
    fleet.run(seconds(30));
    CHECK(fleet[3].isJoined());
    CHECK(fleet[0].live().size() == 4);
}

TEST_CASE("A dead daemon is found by all within seconds, and is a loss")
{
    // A process dies with requests waiting on it. Callers that ask for entries are still sent to
    // it until its death is known, so the time counts: a failed probe, indirect probes, suspicion,
    // then the news spreads.
    FakeFleet fleet(9, {3});
    fleet.form();
    fleet.kill(4);
    const Duration found = fleet.runUntil([&] { return fleet.seenBy(4) == 0; }, minutes(1));
    CHECK(found < 12 * ProbePeriod);
    CHECK(fleet[0].live().size() == 8);
    CHECK(fleet[0].visibleShare() == 1);
    CHECK(fleet.events(MembershipEvent::MemberDied) == 8);
}

TEST_CASE("A leaving daemon is known as such within seconds and its end is no loss")
{
    FakeFleet fleet(40, {4, 3});
    fleet.form();
    fleet.leave(5);
    const auto isKnown = [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i)
            if (fleet[i].find(MemberId("entry-5"))->state != MemberState::Leaving)
                return false;
        return true;
    };
    CHECK(fleet.runUntil(isKnown, minutes(1)) < 8 * ProbePeriod);
    fleet.finish(5);
    CHECK(fleet.runUntil([&] { return fleet.seenBy(5) == 0; }, minutes(1)) < 8 * ProbePeriod);
    CHECK(fleet.events(MembershipEvent::MemberDied) == 0);
    CHECK(fleet.events(MembershipEvent::MemberLeft) == 39);
}

TEST_CASE("A leaving daemon that is suspected never looks alive again")
{
    FakeFleet fleet(9, {3});
    fleet.form();
    fleet.leave(5);
    fleet.run(seconds(8));
    fleet.kill(5);
    bool wasAlive = false;
    fleet.runUntil(
        [&] {
            const auto seen = fleet[0].find(MemberId("entry-5"));
            wasAlive = wasAlive || (seen && seen->state != MemberState::Leaving);
            return fleet.seenBy(5) == 0;
        },
        minutes(1));
    CHECK_FALSE(wasAlive);
    CHECK(fleet.events(MembershipEvent::MemberLeft) == 8);
}

TEST_CASE("A daemon that was paused declares nobody dead")
{
    // A process is stopped for half a minute and wakes believing what it knew. All its deadlines
    // have passed: without a fresh start it would declare its peers dead and tell everybody.
    FakeFleet fleet(9, {3});
    fleet.form();
    fleet.pause(2);
    fleet.run(seconds(30));
    CHECK(fleet.seenBy(2) == 0);
    fleet.resume(2);
    fleet.run(seconds(10));
    CHECK(fleet.events(MembershipEvent::MemberDied) == 8);
    CHECK(fleet.member(2).events->count(MembershipEvent::MemberSuspected) == 0);
    CHECK(fleet.member(2).events->count(MembershipEvent::PauseNoticed) == 1);
    CHECK(fleet.member(2).events->count(MembershipEvent::SelfRefuted) > 0);
    CHECK(fleet.seenBy(2) == 8);
}

TEST_CASE("A replaced daemon's new life takes over at once and the old one learns it")
{
    // A VM is paused and its replacement starts under the same name. When the old process wakes it
    // still thinks that it is the home of keys; both would grant. It must learn and drain.
    FakeFleet fleet(9, {3});
    fleet.form();
    fleet.pause(4);
    fleet.run(seconds(3));
    const std::size_t heir = fleet.addLife(4, 2, {"10.9.9.9", 7000});
    CHECK(fleet.runUntil([&] { return fleet.seenBy(heir) >= 8; }, minutes(1)) < 8 * ProbePeriod);
    fleet.resume(4);
    CHECK(fleet.runUntil([&] { return fleet[4].isObsolete(); }, minutes(1)) < 3 * ProbePeriod);
    fleet.run(seconds(30));
    CHECK_FALSE(fleet[heir].isObsolete());
    CHECK(fleet[0].find(MemberId("entry-4"))->instance == fleet.member(heir).update.instance);
    CHECK(fleet.member(4).events->count(MembershipEvent::ObsoleteLife) == 1);
    CHECK(fleet[0].visibleShare() == 1);
}

TEST_CASE("A daemon whose own network failed doesn't shake the fleet when it is back")
{
    // One daemon hears nobody for a minute: to it all others are dead, to them it is. Back again,
    // it must not spread its belief; nobody else may be taken out of lookups or lose its shards.
    FakeFleet fleet(9, {3});
    fleet.form();
    fleet.network.connects = [](std::size_t from, std::size_t to) { return from != 4 && to != 4; };
    fleet.run(minutes(1));
    CHECK(fleet[4].live().size() == 1);
    CHECK(fleet[4].visibleShare() < 0.2);
    CHECK(fleet[0].live().size() == 8);
    fleet.network.connects = nullptr;
    bool wereAllSeen = true;
    const auto isWhole = [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            wereAllSeen = wereAllSeen && (i == 4 || fleet[i].live().size() >= 8);
            if (fleet[i].live().size() != 9)
                return false;
        }
        return true;
    };
    CHECK(fleet.runUntil(isWhole, minutes(3)) < minutes(1));
    CHECK(wereAllSeen);
    CHECK(fleet[4].visibleShare() == 1);
}

TEST_CASE("Regions that lose each other see it as a split and find each other again")
{
    // The link between the regions is cut for four minutes while both serve callers. Each side
    // must take its share of the targets that both reach, and both must be whole again soon after.
    FakeFleet fleet(21, {4, 3});
    fleet.form();
    const auto isFirst = [](std::size_t number) { return number % 7 < 4; };
    fleet.network.connects
        = [&](std::size_t from, std::size_t to) { return isFirst(from) == isFirst(to); };
    fleet.run(seconds(10));
    CHECK(fleet[0].live().size() == 21);
    fleet.run(minutes(4));
    CHECK(fleet[0].live().size() == 12);
    CHECK(fleet[0].visibleShare() == doctest::Approx(12.0 / 21));
    CHECK(fleet[4].visibleShare() == doctest::Approx(9.0 / 21));
    CHECK(fleet.events(MembershipEvent::SelfRefuted) == 0);
    fleet.network.connects = nullptr;
    const auto isWhole = [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i)
            if (fleet[i].live().size() != 21)
                return false;
        return true;
    };
    CHECK(fleet.runUntil(isWhole, minutes(5)) < minutes(1));
    fleet.run(seconds(1));
    CHECK(fleet[0].visibleShare() == 1);
}

TEST_CASE("What a member has in force is known from its probes")
{
    FakeFleet fleet(9, {3});
    fleet.form();
    fleet[3].setDigest({Generation(7), 42, 5});
    fleet.run(seconds(20));
    std::size_t informed = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const auto digest = fleet[i].digestOf(MemberId("entry-3"));
        informed += digest && digest->generation == Generation(7) ? 1 : 0;
    }
    CHECK(informed == 9);
}

TEST_SUITE_END();
