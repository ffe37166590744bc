#include <apricothook/fleetview/apricothook_rate_meter.hpp>

#include <apricothook/testsupport/apricothook_hand_clock.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

TEST_CASE("a rate is what was admitted in the last second, the largest first")
{
    HandClock clock;
    RateMeter meter;
    meter.add(1, 100, clock.now());
    meter.add(2, 300, clock.now());
    clock.advance(std::chrono::milliseconds(600));
    meter.add(1, 50, clock.now());
    CHECK(meter.rates(10, clock.now()) == std::vector<CustomerRate> {{2, 300}, {1, 150}});
    CHECK(meter.rates(1, clock.now()) == std::vector<CustomerRate> {{2, 300}});
    clock.advance(std::chrono::milliseconds(500));
    CHECK(meter.rates(10, clock.now()) == std::vector<CustomerRate> {{1, 50}});
    clock.advance(std::chrono::seconds(1));
    CHECK(meter.rates(10, clock.now()).empty());
}
