#include "apricothook_published_state_fixture.hpp"

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A heartbeat of the target is due at least this often. */
constexpr milliseconds Heartbeat {1200};

/** Passes time in which the view is confirmed. */
void passConfirmed(PublishedStateFixture &fixture, milliseconds time)
{
    for (milliseconds passed {}; passed < time; passed += milliseconds(100)) {
        fixture.pass(milliseconds(100));
        fixture.state.confirmView(fixture.loop.now());
    }
}

} // namespace

TEST_CASE("a late write of a target's former process doesn't replace the present one")
{
    // Guards against requests that are ended though the process that runs them is sound.
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready@100#7");
    fixture.publish("t/a", "ready@200#1");
    fixture.publish("t/a", "ready@100#8");
    CHECK(fixture.startOf("a") == 200);
    passConfirmed(fixture, Heartbeat);
    fixture.publish("t/a", "ready@200#2");
    passConfirmed(fixture, seconds(30));
    CHECK(fixture.startOf("a") == 200);
}

TEST_CASE("a late write of the former process doesn't make a draining target ready")
{
    // Guards against requests that are cut off when their target ends.
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready@100#7");
    fixture.publish("t/a", "ready@200#1");
    fixture.publish("t/a", "draining@200#2");
    fixture.publish("t/a", "ready@100#8");
    CHECK_FALSE(fixture.isReady("a"));
}

TEST_CASE("a late write of a former process doesn't register a target that was removed")
{
    // Guards against requests to a target that has left.
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready@100#7");
    fixture.publish("t/a", "ready@200#1");
    fixture.publish("t/a", std::nullopt);
    fixture.publish("t/a", "ready@100#8");
    CHECK_FALSE(fixture.has("a"));
    fixture.publish("t/a", "ready@200#2");
    CHECK(fixture.startOf("a") == 200);
}

TEST_CASE("a late removal of the former process's entry doesn't change the order of instances")
{
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready@100#7");
    fixture.publish("t/a", "ready@200#1");
    fixture.publish("t/a", std::nullopt);
    fixture.publish("t/a", "ready@200#2");
    fixture.publish("t/a", "ready@100#8");
    CHECK(fixture.startOf("a") == 200);
    fixture.publish("t/a", "bad");
    fixture.publish("t/a", "ready@100#9");
    CHECK_FALSE(fixture.has("a"));
    // Nor does an entry without the start that the target always states.
    fixture.publish("t/a", "ready#9");
    CHECK_FALSE(fixture.has("a"));
}

TEST_CASE("a listing that holds a late write of a former process doesn't change the order")
{
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready@100#7");
    fixture.publish("t/a", "ready@200#1");
    fixture.revision = 9;
    fixture.state.apply({{{"t/a", "ready@100#8", 9}}, true, 9});
    CHECK(fixture.startOf("a") == 200);
}

TEST_CASE("peers get a former process's write and the one that overwrites it")
{
    // Guards against peers that hold the late write and never hear that it was overwritten.
    PublishedStateFixture fixture;
    fixture.publish("c", "1");
    fixture.publish("t/a", "ready@200#1");
    fixture.publish("t/a", "ready@200#2");
    CHECK_FALSE(fixture.isNews());
    fixture.publish("t/a", "ready@100#8");
    CHECK(fixture.isNews());
    fixture.publish("t/a", "ready@200#3");
    CHECK(fixture.isNews());
    fixture.publish("t/a", "ready@200#4");
    CHECK_FALSE(fixture.isNews());
}

TEST_CASE("a target that starts again with its clock set back is believed after a silence")
{
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready@200#5");
    fixture.publish("t/a", "ready@100#1");
    passConfirmed(fixture, 4 * Heartbeat);
    CHECK(fixture.startOf("a") == 200);
    fixture.publish("t/a", "ready@100#2");
    passConfirmed(fixture, 2 * Heartbeat);
    CHECK(fixture.startOf("a") == 100);
    fixture.publish("t/a", "draining@100#3");
    CHECK_FALSE(fixture.isReady("a"));
}

TEST_CASE("a former process isn't believed while the view isn't confirmed")
{
    // Guards against a daemon that is cut off and takes its own deafness for a target's silence.
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready@200#5");
    fixture.publish("t/a", "ready@100#8");
    const Instant confirmed = fixture.loop.now();
    for (int passed = 0; passed < 60; ++passed) {
        fixture.pass(seconds(1));
        fixture.state.confirmView(confirmed);
    }
    CHECK(fixture.startOf("a") == 200);
}

TEST_CASE("a former process isn't believed before live targets can write after an outage")
{
    PublishedStateFixture fixture;
    fixture.publish("t/a", "ready@200#5");
    fixture.publish("t/a", "ready@100#8");
    fixture.setSourceState(SourceState::Unreachable);
    fixture.pass(seconds(20));
    fixture.setSourceState(SourceState::Reachable);
    passConfirmed(fixture, seconds(1));
    CHECK(fixture.startOf("a") == 200);
    fixture.publish("t/a", "ready@200#6");
    passConfirmed(fixture, seconds(20));
    CHECK(fixture.startOf("a") == 200);
}
