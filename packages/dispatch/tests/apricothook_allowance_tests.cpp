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

int repeatsTaken(RetryBudgetShare &allowance, Instant now, std::size_t daemons)
{
    int taken = 0;
    while (allowance.tryTake(now, daemons).isGranted)
        ++taken;
    return taken;
}

} // namespace

TEST_CASE("repeated sends of all daemons stay within the fleet's allowance")
{
    // Callers see failures instead of a service that never recovers: when all targets fail, every
    // daemon would repeat every request. The sum over nine daemons keeps to the ratio and the
    // slack.
    ManualClock clock;
    constexpr std::size_t Daemons = 9;
    constexpr int Requests = 100;
    double taken = 0;
    for (std::size_t daemon = 0; daemon < Daemons; ++daemon) {
        RetryBudgetShare allowance(bounds(), longAgo(clock));
        for (int i = 0; i < Requests; ++i)
            allowance.countRequest(clock.now());
        taken += repeatsTaken(allowance, clock.now(), Daemons);
    }
    CHECK(taken > 0);
    CHECK(taken <= 0.2 * Requests * Daemons + 60);
}

TEST_CASE("an allowance comes back when its window has passed")
{
    ManualClock clock;
    RetryBudgetShare allowance(bounds(), longAgo(clock));
    CHECK(repeatsTaken(allowance, clock.now(), 1) > 0);
    CHECK_FALSE(allowance.tryTake(clock.now(), 1).isGranted);
    clock.advance(std::chrono::seconds(11));
    CHECK(allowance.tryTake(clock.now(), 1).isGranted);
}

TEST_CASE("a daemon that doesn't know the fleet's size repeats by its own requests alone")
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

TEST_CASE("a process that has just started has no part of the slack, and all of it a window later")
{
    ManualClock clock;
    RetryBudgetShare allowance(bounds(), clock.now());
    CHECK(repeatsTaken(allowance, clock.now(), 1) == 0);
    clock.advance(std::chrono::seconds(10));
    CHECK(repeatsTaken(allowance, clock.now(), 1) == 30);
}

namespace {

RouteRule limitedRoute(const std::string &name, std::uint8_t tier)
{
    RouteRule route;
    route.name = ClassId(name);
    route.tier = Tier(tier);
    return route;
}

/** Requests that were served of those that came. */
struct ServedCount
{
    double served = 0;
    double asked = 0;
    double part() const { return served / asked; }
};

struct SurgeOutcome
{
    ServedCount urgent;
    ServedCount chat;
    double units = 0;
};

/**
 * A customer sends twice its limit for twenty seconds: one urgent request of 4,500 units for each
 * two of chat of 1,500 units, on two tiers apart.
 */
SurgeOutcome surge(bool reserves)
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
        const double left = reserves ? reserve.reservedFraction(rule.unit, route) : 0;
        const bool admitted = bucket.tryTake({units, left}, clock.now());
        count.asked += 1;
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

TEST_CASE("a customer's urgent requests get its units while it asks for more than its limit")
{
    // The customer's urgent callers are served and its chats hear "too many". It sends twice its
    // limit of both; by turns of arrival as many urgent requests would be refused as chats, though
    // each is worth sixteen times as much.
    const SurgeOutcome byArrival = surge(false);
    const SurgeOutcome reserved = surge(true);
    CHECK(reserved.urgent.part() >= 1.2 * byArrival.urgent.part());
    CHECK(reserved.chat.part() > 0);
    // The limit is used up as before, but for what is kept for a moment that doesn't come.
    CHECK(reserved.units >= 0.9 * byArrival.units);
}

TEST_CASE("where a limit counts requests, a customer's routes give way by their tiers")
{
    LimitReserve reserve;
    const RouteRule urgent = limitedRoute("urgent", 1);
    const RouteRule chat = limitedRoute("chat", 2);
    reserve.recordUnits(LimitUnit::Requests, urgent, 1);
    reserve.recordUnits(LimitUnit::Requests, chat, 1);
    CHECK(reserve.reservedFraction(LimitUnit::Requests, urgent) == 0);
    CHECK(reserve.reservedFraction(LimitUnit::Requests, chat) == doctest::Approx(0.1));
    // The other unit has learned nothing of them.
    CHECK(reserve.reservedFraction(LimitUnit::Tokens, chat) == 0);
}

TEST_CASE("policies are switched off by name, and an unknown name is told")
{
    CHECK(policiesWithout({}).value() == PolicySwitches());
    const PolicySwitches some = policiesWithout({"waiting", "limit-reserve"}).value();
    CHECK_FALSE(some.waiting);
    CHECK_FALSE(some.limitReserve);
    CHECK(some.forecast);
    CHECK(policiesWithout({"waiting", "wating"}).error().name == "wating");
}
