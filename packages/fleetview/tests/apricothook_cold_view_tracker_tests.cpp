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

struct OutlookBench
{
    ManualClock clock;
    FleetDirectory directory {MemberId("self")};
    ColdViewTracker outlook {directory, Seeds, Own, milliseconds(1200)};
    ItemReach items {true, true};

    OutlookBench() { directory.review(clock.now()); }
    void hear(const std::string &member, const Endpoint &address = {})
    {
        MemberInfo brief;
        brief.member = MemberId(member);
        brief.isReady = true;
        brief.beaconAddress = address;
        directory.update(brief, clock.now());
    }
    void hearSeeds()
    {
        hear("seed1", Seeds[0]);
        hear("seed2", Seeds[1]);
    }
    ColdTargetSenders review() { return outlook.review(items, clock.now()); }
    ColdView view() { return review().view; }
    /** Passes its first seconds, with the seeds and these members. */
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
    /** Reviews while nobody is heard. */
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

TEST_CASE("one part of a fleet that is cut is its main part, and its silent members stay counted")
{
    // Targets that have just started crash anew: both sides of a cut take themselves for the fleet,
    // and each sends them what one may.
    OutlookBench bench;
    bench.hearSeeds();
    bench.hear("a");
    bench.hear("b");
    // Until it has heard of nobody new for a while it may know a part only.
    CHECK(bench.view() == ColdView::Alone);
    CHECK(bench.startedAndHeard({"a", "b"}) == ColdView::Main);
    CHECK(bench.review().members.size() == 5);
    bench.viewAfter(milliseconds(1500));
    bench.hear("seed1", Seeds[0]);
    // Itself and one seed are most seeds, but two of five members aren't most of them.
    CHECK(bench.view() == ColdView::Outside);
    CHECK(bench.review().members.size() == 5);
    bench.hear("a");
    CHECK(bench.view() == ColdView::Main);
    // Without most seeds it isn't the main part, however many members it hears.
    bench.viewAfter(milliseconds(1500));
    for (const char *member : {"a", "b", "c", "d"})
        bench.hear(member);
    bench.viewAfter(milliseconds(900));
    for (const char *member : {"a", "b", "c", "d"})
        bench.hear(member);
    CHECK(bench.viewAfter(milliseconds(400)) == ColdView::Outside);
    CHECK(bench.review().members.size() == 7);
    bench.viewAfter(FleetDirectory::AddressLimit + milliseconds(100));
    CHECK(bench.review().members.size() == 1);
}

TEST_CASE("while parts of a fleet find each other no daemon takes itself for a target's sender")
{
    // A target crashes anew: names come one after the other, and with each another daemon takes
    // itself for the first. Four of them sent to one target within a second.
    OutlookBench bench;
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
    // One that is heard again was counted all the time.
    bench.hear("a");
    CHECK(bench.view() == ColdView::Main);
}

TEST_CASE("a daemon that nothing reached doubts all targets until it has caught up")
{
    // Targets crash anew: an evacuation began and ended while a daemon was cut off. When it hears
    // somebody again it doesn't know that yet.
    OutlookBench bench;
    bench.hearSeeds();
    REQUIRE(bench.startedAndHeard({}) == ColdView::Main);
    bench.items = {false, false};
    CHECK(bench.viewAfter(milliseconds(1500)) == ColdView::Doubtful);
    bench.hearSeeds();
    CHECK(bench.view() == ColdView::Doubtful);
    bench.items = {true, true};
    CHECK(bench.viewAfter(ColdViewTracker::CatchUpTime) != ColdView::Doubtful);
}

TEST_CASE("a daemon that stood still doubts all targets until it has caught up")
{
    OutlookBench bench;
    bench.hearSeeds();
    REQUIRE(bench.startedAndHeard({}) == ColdView::Main);
    bench.clock.advance(seconds(8));
    bench.hearSeeds();
    CHECK(bench.view() == ColdView::Doubtful);
    CHECK(bench.viewAfter(ColdViewTracker::CatchUpTime) != ColdView::Doubtful);
}

TEST_CASE("a daemon that has just started doubts all targets until they have written again")
{
    // Targets crash anew: an evacuation ended just before a daemon started, its targets turned cold
    // with it, and the entries that the daemon has read are of before.
    OutlookBench bench;
    bench.hearSeeds();
    bench.view();
    CHECK(bench.viewAfter(milliseconds(400)) == ColdView::Doubtful);
    bench.viewAfter(milliseconds(1200));
    bench.hearSeeds();
    CHECK(bench.view() == ColdView::Main);
    // What others read comes later.
    bench.items = {false, true};
    CHECK(bench.view() == ColdView::Doubtful);
    bench.viewAfter(ColdViewTracker::OthersReadingTime);
    bench.hearSeeds();
    CHECK(bench.view() == ColdView::Main);
}
