#include "apricothook_test_fleet.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Apricothook;

TEST_SUITE_BEGIN("[configuration][keeper]");

TEST_CASE("A daemon that restarts while the platform is stale serves the fleet's configuration")
{
    // The platform answers with revision 5 though the fleet has 9 in force. A restarted daemon has
    // forgotten everything; if it served 5, its callers would see the old setup again. It asks its
    // peers first, hears of 9, and serves nothing until it has fetched that.
    TestDaemon daemon;
    daemon.keeper->tick(at(0), daemon.out);
    CHECK(actionsOf<ReadPlatform>(daemon.out).size() == 1);
    CHECK(daemon.out.outbox.size() == 3);
    daemon.platformGives(textOf(5), 0.1);
    CHECK_FALSE(daemon.keeper->isReady());
    daemon.peerGives("b", digestOf(9), 0.2);
    daemon.peerGives("c", digestOf(9), 0.2);
    daemon.peerGives("d", digestOf(9), 0.2);
    const auto fetches = actionsOf<FetchText>(daemon.out);
    REQUIRE(fetches.size() == 1);
    CHECK(fetches[0] == FetchText {daemon.member("b").peerAddress, Generation(9), 90});
    daemon.keeper->tick(at(30), daemon.out);
    CHECK_FALSE(daemon.keeper->isReady());
    daemon.keeper->arrived(textOf(9), at(31), daemon.out);
    CHECK(daemon.generation() == 9);
}

TEST_CASE("A starting daemon waits for its peers a bounded time only")
{
    // The network to all peers is cut, or the whole fleet starts at once: nobody can say more than
    // the platform does. After the patience the platform's word is taken, and an event says so.
    TestDaemon daemon;
    daemon.platformGives(textOf(5), 0.1);
    SUBCASE("no peer answers") { }
    SUBCASE("peers answer that they have nothing either")
    {
        for (const char *name : {"b", "c", "d"})
            daemon.peerGives(name, StateDigest {}, 0.2);
    }
    daemon.keeper->tick(at(2.9), daemon.out);
    CHECK_FALSE(daemon.keeper->isReady());
    daemon.keeper->tick(at(3), daemon.out);
    CHECK(daemon.generation() == 5);
    CHECK(daemon.events.count(ConfigurationEvent::JoinWithoutPeers) == 1);
    CHECK(actionsOf<ApplyConfiguration>(daemon.out).at(0).isFleetNew);
}

TEST_CASE("A starting daemon takes its peers' word while the platform is down")
{
    TestDaemon daemon;
    daemon.keeper->platformReachability({false}, at(0.1), daemon.out);
    for (const char *name : {"b", "c", "d"})
        daemon.peerGives(name, digestOf(4), 0.2);
    daemon.keeper->arrived(textOf(4), at(0.3), daemon.out);
    CHECK(daemon.generation() == 4);
    CHECK(daemon.events.count(ConfigurationEvent::JoinWithoutPlatform) == 1);
    CHECK_FALSE(actionsOf<ApplyConfiguration>(daemon.out).at(0).isFleetNew);
}

TEST_CASE("A daemon that nobody answers isn't ready and asks ever more seldom")
{
    TestDaemon daemon;
    for (int tick = 0; tick < 6000; ++tick)
        daemon.keeper->tick(at(tick / 10.0), daemon.out);
    CHECK_FALSE(daemon.keeper->isReady());
    const std::size_t reads = actionsOf<ReadPlatform>(daemon.out).size();
    // 600 s at 4 to 12 s each once the wait has doubled to 8 s.
    CHECK(reads > 50);
    CHECK(reads < 160);
}

TEST_CASE("A late older text, another text of the same revision and a bad text change nothing")
{
    // The platform falls back to an old copy, or an operator publishes two texts under a revision.
    // Whoever took them would leave part of the fleet with another setup than the rest.
    TestDaemon daemon(0);
    daemon.platformGives(textOf(7), 0);
    REQUIRE(daemon.generation() == 7);
    daemon.platformGives(textOf(6), 1);
    CHECK(daemon.events.count(ConfigurationEvent::LowerIgnored) == 1);
    daemon.platformGives(textOf(7, 71), 2);
    daemon.platformGives(textOf(7, 71), 3);
    CHECK(daemon.events.count(ConfigurationEvent::TwoTextsOneGeneration) == 1);
    daemon.keeper->rejected({Generation(8), 80, 1, "line 3"}, at(4), daemon.out);
    CHECK(daemon.keeper->digest().textHash == 70);
    CHECK(actionsOf<ApplyConfiguration>(daemon.out).size() == 1);
}

TEST_CASE("A text that was refused once is not fetched again")
{
    // A member of another version accepts what this one refuses. Each of its probes tells of the
    // text; fetching it each time would cost a megabyte and a parse a second.
    TestDaemon daemon(3);
    daemon.platformGives(textOf(7), 0);
    daemon.keeper->tick(at(3), daemon.out);
    daemon.keeper->digestSeen(daemon.member("b"), digestOf(8), at(4), daemon.out);
    CHECK(actionsOf<FetchText>(daemon.out).size() == 1);
    daemon.keeper->rejected({Generation(8), 80, 1, "line 3"}, at(4.1), daemon.out);
    for (int second = 5; second < 60; ++second) {
        daemon.keeper->digestSeen(daemon.member("c"), digestOf(8), at(second), daemon.out);
        daemon.keeper->tick(at(second), daemon.out);
    }
    CHECK(actionsOf<FetchText>(daemon.out).size() == 1);
    CHECK(daemon.generation() == 7);
}

TEST_CASE("A member that doesn't give its text is passed over, and a burst is fetched once")
{
    // "b" tells of 8 and dies. Meanwhile 9, 10 and 11 come within a second: only 11 is fetched.
    TestDaemon daemon(3);
    daemon.platformGives(textOf(7), 0);
    daemon.keeper->tick(at(3), daemon.out);
    daemon.keeper->digestSeen(daemon.member("b"), digestOf(8), at(4), daemon.out);
    for (int revision = 9; revision <= 11; ++revision)
        daemon.keeper->digestSeen(daemon.member("c"), digestOf(revision), at(4.1), daemon.out);
    CHECK(actionsOf<FetchText>(daemon.out).size() == 1);
    daemon.keeper->tick(at(6), daemon.out);
    const auto fetches = actionsOf<FetchText>(daemon.out);
    REQUIRE(fetches.size() == 2);
    CHECK(fetches[1] == FetchText {daemon.member("c").peerAddress, Generation(11), 110});
    CHECK(daemon.events.count(ConfigurationEvent::FetchTimedOut) == 1);
    SUBCASE("the next holder is asked when this one is silent too")
    {
        daemon.keeper->digestSeen(daemon.member("d"), digestOf(11), at(6.5), daemon.out);
        daemon.keeper->tick(at(8), daemon.out);
        CHECK(actionsOf<FetchText>(daemon.out).back().peer == daemon.member("d").peerAddress);
    }
}

TEST_CASE("A daemon that was paused asks its peers when it wakes")
{
    TestDaemon daemon(3);
    daemon.platformGives(textOf(7), 0);
    daemon.keeper->tick(at(3), daemon.out);
    REQUIRE(daemon.keeper->isReady());
    daemon.out = {};
    daemon.keeper->tick(at(4), daemon.out);
    CHECK(daemon.out.outbox.empty());
    daemon.keeper->tick(at(44), daemon.out);
    CHECK(daemon.out.outbox.size() == 3);
    CHECK(daemon.events.count(ConfigurationEvent::LateWake) == 1);
}

TEST_CASE("An older list of leaving VMs doesn't give a leaving VM work again")
{
    TestDaemon daemon(3);
    const VmList newer {9, {VmId("vm1")}};
    daemon.keeper->vmsArrived(newer, daemon.out);
    daemon.keeper->vmsArrived({8, {}}, daemon.out);
    CHECK(daemon.keeper->vmList() == newer);
    CHECK(actionsOf<ApplyVmList>(daemon.out).size() == 1);
    daemon.out = {};
    daemon.keeper->vmListRequested(MemberId("b"), {8}, daemon.out);
    daemon.keeper->vmListRequested(MemberId("c"), {9}, daemon.out);
    REQUIRE(daemon.out.outbox.size() == 1);
    CHECK(daemon.out.outbox[0] == OutgoingMessage {MemberId("b"), newer});
    daemon.keeper->digestSeen(daemon.member("d"), {Generation(), 0, 10}, at(1), daemon.out);
    CHECK(daemon.out.outbox.back() == OutgoingMessage {MemberId("d"), VmListRequest {9}});
}

TEST_CASE("Whatever arrives in whatever order, the generation in force never falls")
{
    rc::check("random arrivals from platform and peers", [] {
        TestDaemon daemon(3, *rc::gen::arbitrary<std::uint64_t>());
        std::uint64_t inForce = 0;
        double seconds = 0;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(1, 20)));
        for (const auto &[kind, value] : steps) {
            seconds += 0.3;
            const auto revision = static_cast<std::uint64_t>(value);
            const char *peer = value % 2 == 0 ? "b" : "c";
            if (kind == 0)
                daemon.platformGives(textOf(revision), seconds);
            else if (kind == 1)
                daemon.keeper->arrived(textOf(revision), at(seconds), daemon.out);
            else if (kind == 2)
                daemon.peerGives(peer, digestOf(revision), seconds);
            else if (kind == 3)
                daemon.keeper->rejected({Generation(revision), revision * 10, 1, ""}, at(seconds),
                                        daemon.out);
            else if (kind == 4)
                daemon.keeper->platformReachability({value % 3 == 0}, at(seconds), daemon.out);
            else
                daemon.keeper->tick(at(seconds), daemon.out);
            RC_ASSERT(daemon.generation() >= inForce);
            inForce = daemon.generation();
        }
        std::uint64_t last = 0;
        for (const ApplyConfiguration &applied : actionsOf<ApplyConfiguration>(daemon.out)) {
            RC_ASSERT(applied.configuration->generation.value() > last);
            RC_ASSERT(applied.text != nullptr);
            last = applied.configuration->generation.value();
        }
    });
}

TEST_SUITE_END();
