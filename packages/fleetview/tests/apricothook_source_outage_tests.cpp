#include <apricothook/fleetview/apricothook_source_outage.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

TEST_CASE("removals are unreliable during an outage and until targets have registered again")
{
    ManualClock clock;
    SourceOutage outage;
    CHECK_FALSE(outage.mayHaveExpired(clock.now()));
    outage.note({false, true}, clock.now());
    clock.advance(std::chrono::seconds(4));
    CHECK(outage.mayHaveExpired(clock.now()));
    outage.note({true, false}, clock.now());
    clock.advance(std::chrono::milliseconds(2400));
    CHECK(outage.mayHaveExpired(clock.now()));
    clock.advance(std::chrono::milliseconds(200));
    CHECK_FALSE(outage.mayHaveExpired(clock.now()));
}

TEST_CASE("a source that no daemon has called yet isn't considered down")
{
    ManualClock clock;
    SourceOutage outage;
    outage.note({false, false}, clock.now());
    clock.advance(std::chrono::seconds(4));
    CHECK_FALSE(outage.mayHaveExpired(clock.now()));
}
