#include <apricothook/fleetview/apricothook_view_age.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;
using std::chrono::milliseconds;

namespace {

struct ViewAgeFixture
{
    ManualClock clock;
    ViewAge view;

    Duration age() const { return view.age(clock.now()).value(); }
};

} // namespace

TEST_CASE("a view has no age before it is confirmed, and grows older afterwards")
{
    ViewAgeFixture fixture;
    CHECK_FALSE(fixture.view.age(fixture.clock.now()));
    fixture.view.confirm(fixture.clock.now());
    fixture.clock.advance(milliseconds(300));
    CHECK(fixture.age() == milliseconds(300));
    fixture.view.confirm(fixture.clock.now() - milliseconds(500));
    CHECK(fixture.age() == milliseconds(300));
}

TEST_CASE("a peer's report confirms the view of a daemon that has its revision")
{
    ViewAgeFixture fixture;
    fixture.view.confirm(fixture.clock.now());
    fixture.clock.advance(milliseconds(900));
    fixture.view.confirm({7, 100}, 7, fixture.clock.now());
    CHECK(fixture.age() == milliseconds(100));
}

TEST_CASE("a peer's report doesn't confirm the view of a daemon that lacks its revision")
{
    // Guards against a daemon that takes its view for current while it waits for a change.
    ViewAgeFixture fixture;
    fixture.view.confirm(fixture.clock.now());
    fixture.clock.advance(milliseconds(900));
    fixture.view.confirm({8, 100}, 7, fixture.clock.now());
    CHECK(fixture.age() == milliseconds(900));
}

TEST_CASE("a peer that doesn't know the age of its view confirms nothing")
{
    // A daemon that has just started, or one of a former version, reports no age.
    ViewAgeFixture fixture;
    fixture.view.confirm({7, ViewReport::UnknownAge}, 7, fixture.clock.now());
    CHECK_FALSE(fixture.view.age(fixture.clock.now()));
    CHECK(fixture.view.report(7, fixture.clock.now()) == ViewReport {7, ViewReport::UnknownAge});
}

TEST_CASE("a view that is passed on from peer to peer keeps its age")
{
    ViewAgeFixture fixture;
    ViewAge first;
    ViewAge second;
    first.confirm(fixture.clock.now());
    fixture.clock.advance(milliseconds(400));
    second.confirm(first.report(7, fixture.clock.now()), 7, fixture.clock.now());
    fixture.clock.advance(milliseconds(200));
    fixture.view.confirm(second.report(7, fixture.clock.now()), 7, fixture.clock.now());
    CHECK(fixture.age() == milliseconds(600));
}
