#include "apricothook_dispatch_bench.hpp"

#include <apricothook/dispatch/apricothook_target_limits.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t Target = 7;

/** Reports of answers whose requests were sent `age` before. */
struct LimitsFixture
{
    TargetLimitChange answer(std::optional<double> perSecond, Duration age = milliseconds(50))
    {
        return limits.observe({Target, perSecond, clock.now() - age, clock.now()});
    }
    TargetLimitNotice notice(std::optional<double> perSecond, unsigned ageMs) const
    {
        TargetLimitNotice notice;
        notice.target = Target;
        notice.isLimited = perSecond.has_value();
        notice.thousandthsPerSecond = static_cast<std::uint64_t>(perSecond.value_or(0) * 1000);
        notice.ageMs = ageMs;
        return notice;
    }

    ManualClock clock;
    TargetLimits limits;
};

} // namespace

TEST_CASE("a target's limit is learned, changed and ended by its answers")
{
    LimitsFixture fixture;
    CHECK(fixture.answer(std::nullopt) == TargetLimitChange::None);
    CHECK(fixture.answer(3.6) == TargetLimitChange::Learned);
    CHECK(fixture.limits.perSecond(Target) == 3.6);
    fixture.clock.advance(seconds(1));
    CHECK(fixture.answer(3.6) == TargetLimitChange::None);
    fixture.clock.advance(seconds(1));
    CHECK(fixture.answer(0.5) == TargetLimitChange::Changed);
    fixture.clock.advance(seconds(1));
    CHECK(fixture.answer(std::nullopt) == TargetLimitChange::Ended);
    CHECK_FALSE(fixture.limits.perSecond(Target));
}

TEST_CASE("an answer that was overtaken on its way doesn't raise or end a limit")
{
    LimitsFixture fixture;
    fixture.answer(3.6);
    fixture.clock.advance(milliseconds(100));
    CHECK(fixture.answer(std::nullopt, milliseconds(200)) == TargetLimitChange::None);
    CHECK(fixture.answer(20, milliseconds(200)) == TargetLimitChange::None);
    CHECK(fixture.answer(2, milliseconds(200)) == TargetLimitChange::Changed);
    fixture.clock.advance(milliseconds(100));
    CHECK(fixture.answer(20, milliseconds(50)) == TargetLimitChange::Changed);
    CHECK(fixture.limits.perSecond(Target) == 20.0);
}

TEST_CASE("of two observations that daemons tell of a limit the later one counts")
{
    LimitsFixture fixture;
    fixture.clock.advance(seconds(1));
    CHECK(fixture.limits.take(fixture.notice(3.6, 500), fixture.clock.now())
          == TargetLimitChange::Learned);
    CHECK(fixture.limits.take(fixture.notice(9, 600), fixture.clock.now())
          == TargetLimitChange::None);
    CHECK(fixture.limits.contradicts(fixture.notice(9, 600), fixture.clock.now()));
    CHECK_FALSE(fixture.limits.contradicts(fixture.notice(9, 400), fixture.clock.now()));
    CHECK(fixture.limits.take(fixture.notice(std::nullopt, 100), fixture.clock.now())
          == TargetLimitChange::Ended);
    // An old report doesn't bring an ended limit back.
    CHECK(fixture.limits.take(fixture.notice(3.6, 300), fixture.clock.now())
          == TargetLimitChange::None);
    CHECK(fixture.limits.take(fixture.notice(3.6, 0), fixture.clock.now())
          == TargetLimitChange::Learned);
}

TEST_CASE("a limit is announced when it changes, and again when nobody has for a while")
{
    LimitsFixture fixture;
    const auto isDue = [&](TargetLimitChange change) {
        return fixture.limits.isAnnouncementDue(Target, change, fixture.clock.now());
    };
    CHECK(isDue(fixture.answer(3.6)));
    fixture.limits.recordAnnouncement(Target, fixture.clock.now());
    fixture.clock.advance(milliseconds(600));
    CHECK_FALSE(isDue(fixture.answer(3.6)));
    TargetLimitNotice announcement = fixture.notice(3.6, 0);
    announcement.isAnnouncement = true;
    fixture.clock.advance(milliseconds(100));
    fixture.limits.take(announcement, fixture.clock.now());
    fixture.clock.advance(milliseconds(600));
    CHECK_FALSE(isDue(fixture.answer(3.6)));
    fixture.clock.advance(TargetLimits::AnnouncementInterval);
    CHECK(isDue(fixture.answer(3.6)));
    CHECK(isDue(fixture.answer(std::nullopt, Duration::zero())));
}

TEST_CASE("limits of unknown targets and ended ones are forgotten after a while, others never")
{
    LimitsFixture fixture;
    fixture.answer(3.6);
    fixture.clock.advance(TargetLimits::UnknownTargetTime + seconds(1));
    fixture.limits.review([](std::uint64_t) { return true; }, fixture.clock.now());
    CHECK(fixture.limits.perSecond(Target) == 3.6);
    fixture.limits.review([](std::uint64_t) { return false; }, fixture.clock.now());
    CHECK_FALSE(fixture.limits.find(Target));
    fixture.answer(3.6);
    fixture.clock.advance(seconds(1));
    fixture.answer(std::nullopt);
    fixture.clock.advance(TargetLimits::EndedLimitTime + seconds(1));
    fixture.limits.review([](std::uint64_t) { return true; }, fixture.clock.now());
    CHECK_FALSE(fixture.limits.find(Target));
}

TEST_CASE("the end of a limit isn't announced forever")
{
    LimitsFixture fixture;
    fixture.answer(3.6);
    fixture.clock.advance(seconds(1));
    CHECK(fixture.answer(std::nullopt) == TargetLimitChange::Ended);
    for (int second = 0; second < 12; ++second) {
        fixture.clock.advance(seconds(1));
        fixture.answer(std::nullopt);
        fixture.limits.review([](std::uint64_t) { return true; }, fixture.clock.now());
    }
    CHECK_FALSE(fixture.limits.find(Target));
}

TEST_CASE("a target without a unit gets no request until it has one, and others get them")
{
    DispatchBench bench;
    bench.addTarget("t", 4);
    bench.addTarget("u", 1);
    const TargetInstance limited {TargetId("t")};
    bench.targets.setLimit(targetHash(limited), 2);
    bench.targets.unitDecided(limited, bench.clock.now() + milliseconds(300));
    bench.offer(1);
    CHECK(bench.placements.targets == std::vector<std::string> {"u"});
    bench.offer(2);
    CHECK(bench.placements.placed.size() == 1);
    REQUIRE(bench.dispatcher.nextReview(bench.clock.now()));
    CHECK(*bench.dispatcher.nextReview(bench.clock.now()) == bench.clock.now() + milliseconds(300));
    bench.clock.advance(milliseconds(300));
    bench.dispatcher.review(bench.clock.now());
    CHECK(bench.placements.targets == std::vector<std::string> {"u", "t"});
}

TEST_CASE("one request of a daemon at a time waits for a unit of a target")
{
    DispatchBench bench;
    bench.addTarget("t", 4);
    const TargetInstance limited {TargetId("t")};
    bench.targets.setLimit(targetHash(limited), 20);
    bench.offer(1);
    bench.targets.unitRequested(limited);
    bench.offer(2);
    CHECK(bench.placements.placed == std::vector<std::uint64_t> {1});
    bench.targets.unitDecided(limited, {});
    bench.dispatcher.review(bench.clock.now());
    CHECK(bench.placements.placed == std::vector<std::uint64_t> {1, 2});
}

TEST_CASE("a limited target counts with the requests that its limit lets run at once")
{
    // The expected wait and refusals would otherwise rest on slots that can't be used.
    DispatchBench bench;
    bench.addTarget("t", 40);
    CHECK(bench.targets.capacity(Service, bench.clock.now()).slots == 40);
    bench.targets.setLimit(targetHash({TargetId("t")}), 4);
    const ServiceCapacity capacity = bench.targets.capacity(Service, bench.clock.now());
    CHECK(capacity.limited == 1);
    CHECK(capacity.slots == static_cast<std::uint32_t>(4 * capacity.meanHoldTime / 1000));
    CHECK(capacity.free == capacity.slots);
    bench.targets.setLimit(targetHash({TargetId("t")}), std::nullopt);
    CHECK(bench.targets.capacity(Service, bench.clock.now()).slots == 40);
}
