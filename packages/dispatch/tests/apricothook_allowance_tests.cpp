#include <apricothook/dispatch/apricothook_limit_reserve.hpp>
#include <apricothook/dispatch/apricothook_policy_switches.hpp>
#include <apricothook/dispatch/apricothook_retry_budget_share.hpp>
#include <apricothook/dispatch/apricothook_unit_bucket.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <vector>

using namespace Apricothook;

namespace {

FleetBounds bounds()
{
    FleetBounds bounds;
    bounds.retryRatio = 0.2;
    bounds.retrySlack = 60;
    bounds.customerOvershoot = 0.25;
    bounds.customerSlack = 10'000;
    return bounds;
}

CustomerRule customer(double rate)
{
    CustomerRule rule;
    rule.name = CustomerId("carrier");
    rule.unit = LimitUnit::Tokens;
    rule.ratePerSecond = rate;
    rule.burst = rate;
    return rule;
}

Instant longAgo(const Clock &clock)
{
    return clock.now() - std::chrono::hours(1);
}

int retriesTaken(RetryBudgetShare &allowance, Instant now, std::size_t daemons)
{
    int taken = 0;
    while (allowance.tryTake(now, daemons).isGranted)
        ++taken;
    return taken;
}

} // namespace

TEST_CASE("retries of all daemons stay within the fleet's retry budget")
{
    // When all targets fail and every daemon retries every request, the service never recovers. The
    // retries of nine daemons together must stay within the ratio and the slack.
    ManualClock clock;
    constexpr std::size_t Daemons = 9;
    constexpr int Requests = 100;
    double taken = 0;
    for (std::size_t daemon = 0; daemon < Daemons; ++daemon) {
        RetryBudgetShare allowance(bounds(), longAgo(clock));
        for (int i = 0; i < Requests; ++i)
            allowance.countRequest(clock.now());
        taken += retriesTaken(allowance, clock.now(), Daemons);
    }
    CHECK(taken > 0);
    CHECK(taken <= 0.2 * Requests * Daemons + 60);
}

TEST_CASE("a retry budget is available again after its window")
{
    ManualClock clock;
    RetryBudgetShare allowance(bounds(), longAgo(clock));
    CHECK(retriesTaken(allowance, clock.now(), 1) > 0);
    CHECK_FALSE(allowance.tryTake(clock.now(), 1).isGranted);
    clock.advance(std::chrono::seconds(11));
    CHECK(allowance.tryTake(clock.now(), 1).isGranted);
}

TEST_CASE("a daemon that doesn't know the fleet's size retries by its own requests alone")
{
    ManualClock clock;
    RetryBudgetShare allowance(bounds(), longAgo(clock));
    CHECK_FALSE(allowance.tryTake(clock.now(), std::nullopt).isGranted);
    for (int i = 0; i < 100; ++i)
        allowance.countRequest(clock.now());
    int taken = 0;
    while (allowance.tryTake(clock.now(), std::nullopt).isGranted)
        ++taken;
    CHECK(taken > 0);
    CHECK(taken <= 0.2 * 100);
}

TEST_CASE("a process that has just started has no share of the slack, and all of it a window later")
{
    ManualClock clock;
    RetryBudgetShare allowance(bounds(), clock.now());
    CHECK(retriesTaken(allowance, clock.now(), 1) == 0);
    clock.advance(std::chrono::seconds(10));
    CHECK(retriesTaken(allowance, clock.now(), 1) == 30);
}

namespace {

RouteRule limitedRoute(const std::string &name, std::uint8_t tier)
{
    RouteRule route;
    route.name = ClassId(name);
    route.tier = Tier(tier);
    return route;
}

/** Numbers of served and offered requests. */
struct ServedCount
{
    double served = 0;
    double offered = 0;
    double fraction() const { return served / offered; }
};

struct SurgeOutcome
{
    ServedCount urgent;
    ServedCount chat;
    double units = 0;
};

/**
 * A customer sends twice its limit for twenty seconds: one urgent request of 4,500 units for every
 * two chat requests of 1,500 units, two tiers apart.
 */
SurgeOutcome surge(bool usesReserve)
{
    ManualClock clock;
    LimitReserve reserve;
    const CustomerRule rule = customer(10'000);
    UnitBucket bucket(budgetOf(rule, bounds()), clock.now());
    const RouteRule urgent = limitedRoute("urgent", 1);
    const RouteRule chat = limitedRoute("chat", 3);
    bucket.add(1e9, clock.now());
    SurgeOutcome outcome;
    const auto send = [&](const RouteRule &route, double units, ServedCount &count) {
        reserve.recordUnits(rule.unit, route, units);
        const double reserved = usesReserve ? reserve.reservedFraction(rule.unit, route) : 0;
        const bool admitted = bucket.tryTake({units, reserved}, clock.now());
        count.offered += 1;
        count.served += admitted ? 1 : 0;
        outcome.units += admitted ? units : 0;
    };
    for (int step = 0; step < 54; ++step) {
        send(chat, 1500, outcome.chat);
        send(urgent, 4500, outcome.urgent);
        send(chat, 1500, outcome.chat);
        clock.advance(std::chrono::milliseconds(370));
    }
    return outcome;
}

} // namespace

TEST_CASE("a customer's urgent requests get its units while it exceeds its limit")
{
    // A customer sends twice its limit, in urgent requests and chats. In order of arrival as many
    // urgent requests as chats would be refused, though each is worth sixteen times as much.
    const SurgeOutcome byArrival = surge(false);
    const SurgeOutcome reserved = surge(true);
    CHECK(reserved.urgent.fraction() >= 1.2 * byArrival.urgent.fraction());
    CHECK(reserved.chat.fraction() > 0);
    // The limit is still used up, but for units reserved for urgent requests that don't arrive.
    CHECK(reserved.units >= 0.9 * byArrival.units);
}

TEST_CASE("if a limit counts requests, a customer's routes are ordered by their tiers")
{
    LimitReserve reserve;
    const RouteRule urgent = limitedRoute("urgent", 1);
    const RouteRule chat = limitedRoute("chat", 2);
    reserve.recordUnits(LimitUnit::Requests, urgent, 1);
    reserve.recordUnits(LimitUnit::Requests, chat, 1);
    CHECK(reserve.reservedFraction(LimitUnit::Requests, urgent) == 0);
    CHECK(reserve.reservedFraction(LimitUnit::Requests, chat) == doctest::Approx(0.1));
    // Nothing was recorded for the other unit.
    CHECK(reserve.reservedFraction(LimitUnit::Tokens, chat) == 0);
}

TEST_CASE("policies are switched off by name, and an unknown name is reported")
{
    CHECK(policiesWithout({}).value() == PolicySwitches());
    const PolicySwitches some = policiesWithout({"waiting", "limit-reserve", "slot-turns"}).value();
    CHECK_FALSE(some.waiting);
    CHECK_FALSE(some.limitReserve);
    CHECK_FALSE(some.slotTurns);
    CHECK(some.forecast);
    CHECK(policiesWithout({"waiting", "wating"}).error().name == "wating");
}
