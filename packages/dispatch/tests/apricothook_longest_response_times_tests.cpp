#include <apricothook/dispatch/apricothook_longest_response_times.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

const ClassId Route("route");
constexpr Duration Usual = std::chrono::seconds(1);
constexpr Duration Long = std::chrono::seconds(6);

Instant at(Duration time)
{
    return Instant(std::chrono::hours(1) + time);
}

void recordUsual(LongestResponseTimes &times, Instant now,
                 unsigned count = LongestResponseTimes::FewestSamples)
{
    for (unsigned i = 0; i < count; ++i)
        times.recordComplete(Route, Usual, now);
}

} // namespace

TEST_CASE("the longest time of a route isn't known from a few responses")
{
    LongestResponseTimes times;
    recordUsual(times, at({}), LongestResponseTimes::FewestSamples - 1);
    times.recordIncomplete(Route, Long, at({}));
    CHECK_FALSE(times.longest(Route, at({})));
    times.recordComplete(Route, Usual, at({}));
    CHECK(times.longest(Route, at({})) == Long);
    CHECK_FALSE(times.longest(ClassId("other"), at({})));
}

TEST_CASE("a long time is remembered for one window at least and two at most")
{
    LongestResponseTimes times;
    recordUsual(times, at({}));
    times.recordComplete(Route, Long, at({}));
    constexpr Duration Later = LongestResponseTimes::Window + Usual;
    recordUsual(times, at(Later));
    CHECK(times.longest(Route, at(Later)) == Long);
    constexpr Duration MuchLater = 2 * LongestResponseTimes::Window + 2 * Usual;
    recordUsual(times, at(MuchLater));
    CHECK(times.longest(Route, at(MuchLater)) == Usual);
}

TEST_CASE("times are forgotten if no response follows")
{
    LongestResponseTimes times;
    recordUsual(times, at({}));
    CHECK(times.longest(Route, at(LongestResponseTimes::Window)) == Usual);
    CHECK_FALSE(times.longest(Route, at(3 * LongestResponseTimes::Window)));
}
