#include <apricothook/fleetview/apricothook_cold_outlook.hpp>

#include <apricothook/testsupport/apricothook_hand_clock.hpp>

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
    HandClock clock;
    FleetDirectory directory {MemberId("self")};
    ColdOutlook outlook {directory, Seeds, Own, milliseconds(1200)};
    ItemOutlook items {true, true};

    OutlookBench() { directory.review(clock.now()); }
    void hear(const std::string &member, const Endpoint &address = {})
    {
        MemberBrief brief;
        brief.member = MemberId(member);
        brief.isReady = true;
        brief.beaconAddress = address;
        directory.take(brief, clock.now());
    }
    void hearSeeds()
    {
        hear("seed1", Seeds[0]);
        hear("seed2", Seeds[1]);
    }
    ColdFleet review() { return outlook.review(items, clock.now()); }
    ColdView view() { return review().view; }
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
    CHECK(bench.viewAfter(milliseconds(400)) == ColdView::Main);
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
    CHECK(bench.viewAfter(milliseconds(400)) == ColdView::Outside);
    CHECK(bench.review().members.size() == 7);
    bench.viewAfter(FleetDirectory::AddressLimit + milliseconds(100));
    CHECK(bench.review().members.size() == 1);
}

TEST_CASE("a daemon that nothing reached doubts all targets until it has caught up")
{
    // Targets crash anew: an evacuation began and ended while a daemon was cut off. When it hears
    // somebody again it doesn't know that yet.
    OutlookBench bench;
    bench.hearSeeds();
    REQUIRE(bench.viewAfter(milliseconds(400)) == ColdView::Main);
    bench.items.someReach = false;
    CHECK(bench.viewAfter(milliseconds(1500)) == ColdView::Doubtful);
    bench.hearSeeds();
    CHECK(bench.view() == ColdView::Doubtful);
    bench.items.someReach = true;
    CHECK(bench.viewAfter(ColdOutlook::CatchUpTime) != ColdView::Doubtful);
}

TEST_CASE("a daemon that stood still doubts all targets until it has caught up")
{
    OutlookBench bench;
    bench.hearSeeds();
    REQUIRE(bench.viewAfter(milliseconds(400)) == ColdView::Main);
    bench.clock.advance(seconds(8));
    bench.hearSeeds();
    CHECK(bench.view() == ColdView::Doubtful);
    CHECK(bench.viewAfter(ColdOutlook::CatchUpTime) != ColdView::Doubtful);
}

TEST_CASE("a daemon that doesn't know what ended before its start waits for the next entries")
{
    // Targets crash anew: their entries are of before the end of an evacuation, and the source has
    // forgotten the end.
    OutlookBench bench;
    bench.items.knowsRemovals = false;
    bench.hearSeeds();
    bench.view();
    CHECK(bench.viewAfter(milliseconds(400)) == ColdView::Doubtful);
    CHECK(bench.viewAfter(milliseconds(2100)) != ColdView::Doubtful);
}
