#include <apricothook/fleetview/apricothook_cold_view_tracker.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace Apricothook;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Endpoint Own {"10.0.0.9", 1};
const std::vector<Endpoint> Seeds {{"10.0.0.1", 1}, {"10.0.0.2", 1}, Own};

struct TrackerBench
{
    ManualClock clock;
    FleetDirectory directory {MemberId("self")};
    ColdViewTracker tracker {directory, Seeds, Own, milliseconds(1200)};
    ItemReachability items {true, true};

    TrackerBench() { directory.review(clock.now()); }
    void hear(const std::string &member, const Endpoint &address = {})
    {
        MemberInfo info;
        info.member = MemberId(member);
        info.isReady = true;
        info.peerAddress = address;
        directory.update(info, clock.now());
    }
    void hearSeeds()
    {
        hear("seed1", Seeds[0]);
        hear("seed2", Seeds[1]);
    }
    ColdTargetSenders review() { return tracker.review(items, clock.now()); }
    ColdView view() { return review().view; }
    /** Lets the start-up time pass while the seeds and these members are heard. */
    ColdView startedAndHeard(const std::vector<std::string> &members)
    {
        const auto hearAll = [&] {
            hearSeeds();
            for (const std::string &member : members)
                hear(member);
        };
        hearAll();
        view();
        viewAfter(milliseconds(1700));
        hearAll();
        return view();
    }
    /** Lets time pass without any heartbeats. */
    ColdView viewAfter(milliseconds time)
    {
        constexpr milliseconds Pause {100};
        for (; time > Pause; time -= Pause) {
            clock.advance(Pause);
            view();
        }
        clock.advance(time);
        directory.review(clock.now());
        return view();
    }
};

} // namespace

TEST_CASE("only one side of a network partition is the main part, and it still counts the others")
{
    // If both sides of a network partition considered themselves the whole fleet, each would send
    // the load that the fleet may send to targets that have just started, and these would crash.
    TrackerBench bench;
    bench.hearSeeds();
    bench.hear("a");
    bench.hear("b");
    // The daemon may not know all members until no new ones have appeared for a while.
    CHECK(bench.view() == ColdView::Alone);
    CHECK(bench.startedAndHeard({"a", "b"}) == ColdView::Main);
    CHECK(bench.review().members.size() == 5);
    bench.viewAfter(milliseconds(1500));
    bench.hear("seed1", Seeds[0]);
    // Two of three seeds are a majority, but two of five members aren't.
    CHECK(bench.view() == ColdView::Outside);
    CHECK(bench.review().members.size() == 5);
    bench.hear("a");
    CHECK(bench.view() == ColdView::Main);
    // Without a majority of the seeds it isn't the main part, however many members it hears.
    bench.viewAfter(milliseconds(1500));
    for (const char *member : {"a", "b", "c", "d"})
        bench.hear(member);
    bench.viewAfter(milliseconds(900));
    for (const char *member : {"a", "b", "c", "d"})
        bench.hear(member);
    CHECK(bench.viewAfter(milliseconds(400)) == ColdView::Outside);
    CHECK(bench.review().members.size() == 7);
    bench.viewAfter(FleetDirectory::AddressRetention + milliseconds(100));
    CHECK(bench.review().members.size() == 1);
}

TEST_CASE("no daemon becomes a target's sender while a partition heals")
{
    // When a partition heals, members are discovered one after the other, and with each of them
    // another daemon would consider itself the first for a target. Four daemons sent to the same
    // target within a second, which makes it crash.
    TrackerBench bench;
    REQUIRE(bench.startedAndHeard({}) == ColdView::Main);
    bench.hear("a");
    CHECK(bench.view() != ColdView::Main);
    bench.viewAfter(milliseconds(600));
    bench.hear("b");
    bench.viewAfter(milliseconds(600));
    bench.hearSeeds();
    CHECK(bench.view() != ColdView::Main);
    bench.viewAfter(milliseconds(500));
    CHECK(bench.view() == ColdView::Main);
    // A member that is heard again isn't new.
    bench.hear("a");
    CHECK(bench.view() == ColdView::Main);
}

TEST_CASE("a daemon that was cut off treats all targets as cold until it has caught up")
{
    // An evacuation begins and ends while a daemon is cut off. When the daemon is connected again,
    // it doesn't know yet that targets have become cold, and its load would make them crash.
    TrackerBench bench;
    bench.hearSeeds();
    REQUIRE(bench.startedAndHeard({}) == ColdView::Main);
    bench.items = {false, false};
    CHECK(bench.viewAfter(milliseconds(1500)) == ColdView::Doubtful);
    bench.hearSeeds();
    CHECK(bench.view() == ColdView::Doubtful);
    bench.items = {true, true};
    CHECK(bench.viewAfter(ColdViewTracker::CatchUpTime) != ColdView::Doubtful);
}

TEST_CASE("a daemon whose process was paused treats all targets as cold until it has caught up")
{
    TrackerBench bench;
    bench.hearSeeds();
    REQUIRE(bench.startedAndHeard({}) == ColdView::Main);
    bench.clock.advance(seconds(8));
    bench.hearSeeds();
    CHECK(bench.view() == ColdView::Doubtful);
    CHECK(bench.viewAfter(ColdViewTracker::CatchUpTime) != ColdView::Doubtful);
}

TEST_CASE("a daemon that has just started treats all targets as cold until they have written again")
{
    // An evacuation ends just before a daemon starts, which leaves its targets cold. The daemon has
    // read entries from before that end, and its load would make the targets crash.
    TrackerBench bench;
    bench.hearSeeds();
    bench.view();
    CHECK(bench.viewAfter(milliseconds(400)) == ColdView::Doubtful);
    bench.viewAfter(milliseconds(1200));
    bench.hearSeeds();
    CHECK(bench.view() == ColdView::Main);
    // Items that other daemons read arrive later.
    bench.items = {false, true};
    CHECK(bench.view() == ColdView::Doubtful);
    bench.viewAfter(ColdViewTracker::RelayedReadLatency);
    bench.hearSeeds();
    CHECK(bench.view() == ColdView::Main);
}
