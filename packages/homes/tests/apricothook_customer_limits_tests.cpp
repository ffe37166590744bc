#include <apricothook/homes/apricothook_customer_limits.hpp>

#include "apricothook_homes_fakes.hpp"

#include <doctest/doctest.h>

#include <memory>

using namespace Apricothook;
using namespace Apricothook::Testing;

namespace {

const CustomerId Owner("c");

/** Some daemons with perfect links; `messages` counts what goes between or within them. */
struct Fleet
{
    Fleet(std::size_t size, CustomerLimit limit)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < size; ++i)
            names.push_back("m" + std::to_string(1000 + i));
        for (const std::string &name : names) {
            views.push_back(
                std::make_unique<FakeMemberView>(MemberInstance {MemberId(name), Incarnation(1)}));
            for (const std::string &other : names)
                views.back()->add({MemberId(other), Incarnation(1)});
            daemons.push_back(std::make_unique<CustomerLimits>(*views.back()));
            daemons.back()->setLimits({{Owner, limit}});
        }
    }
    CustomerLimits *find(const MemberId &member)
    {
        for (std::size_t i = 0; i < views.size(); ++i) {
            if (views[i]->self().member == member)
                return daemons[i].get();
        }
        return nullptr;
    }
    void tick(Instant now)
    {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            Outbox out;
            daemons[i]->tick(now, out);
            for (std::size_t sent = 0; sent < out.size(); ++sent)
                deliver(views[i]->self().member, OutgoingMessage(out[sent]), now);
        }
    }
    void deliver(const MemberId &from, const OutgoingMessage &outgoing, Instant now)
    {
        ++messages;
        if (isCut)
            return;
        Outbox replies;
        if (const auto *demand = std::get_if<LimitDemand>(&outgoing.message))
            find(outgoing.to)->handle(from, *demand, now, replies);
        else
            find(outgoing.to)->handle(from, std::get<LimitShare>(outgoing.message), now);
        for (const OutgoingMessage &reply : replies)
            deliver(outgoing.to, reply, now);
    }
    /** Each entry gets its number of requests a second, evenly; returns what each admitted. */
    std::vector<double> run(const std::vector<int> &perSecond, int from, int seconds)
    {
        std::vector<double> admitted(daemons.size());
        for (int step = from * 100; step < (from + seconds) * 100; ++step) {
            const Instant now = at(step / 100.0);
            for (std::size_t i = 0; i < perSecond.size(); ++i) {
                const int due
                    = perSecond[i] * (step % 100 + 1) / 100 - perSecond[i] * (step % 100) / 100;
                for (int request = 0; request < due; ++request)
                    admitted[i] += daemons[i]->admit(Owner, now).has_value() ? 1 : 0;
            }
            if (step % 10 == 0)
                tick(now);
        }
        return admitted;
    }

    std::vector<std::unique_ptr<FakeMemberView>> views;
    std::vector<std::unique_ptr<CustomerLimits>> daemons;
    std::size_t messages = 0;
    bool isCut = false;
};

double sum(const std::vector<double> &values)
{
    double total = 0;
    for (const double value : values)
        total += value;
    return total;
}

} // namespace

TEST_SUITE("[homes][limits]")
{
    TEST_CASE("A customer's limit holds over all entries, and shares follow the demand")
    {
        Fleet fleet(8, {100, 10});
        fleet.run({10, 20, 300, 300}, 0, 5);
        const std::vector<double> admitted = fleet.run({10, 20, 300, 300}, 5, 20);
        CHECK(sum(admitted) <= 100 * 20 + 10);
        CHECK(sum(admitted) >= 95 * 20);
        CHECK(admitted[0] >= 10 * 20 - 1);
        CHECK(admitted[1] >= 20 * 20 - 1);
        CHECK(std::abs(admitted[2] - admitted[3]) <= 0.1 * admitted[2]);
        CHECK(fleet.daemons[7]->activeCustomers() == 0);
    }

    TEST_CASE("All of the limit can be spent at one entry, and a refusal says when to come back")
    {
        Fleet fleet(8, {100, 10});
        fleet.run({100}, 0, 2);
        CHECK(sum(fleet.run({100}, 2, 10)) >= 990);
        fleet.run({500}, 12, 1);
        const auto refused = fleet.daemons[0]->admit(Owner, at(12.99));
        REQUIRE_FALSE(refused);
        CHECK(refused.error().retryAfter > Duration::zero());
        CHECK(refused.error().retryAfter <= std::chrono::milliseconds(10));
    }

    TEST_CASE("Without a limiter every entry falls back to an equal part")
    {
        // The limiter dies or is cut off. If entries kept their last shares, or had no limit, one
        // customer's burst would take the targets from all others while the split lasts.
        Fleet fleet(8, {80, 8});
        fleet.run({200, 200}, 0, 5);
        fleet.isCut = true;
        fleet.run({200, 200}, 5, 4);
        const std::vector<double> admitted = fleet.run({200, 200}, 9, 10);
        CHECK(sum(admitted) <= 2 * 10 * 10 + 4);
        CHECK(sum(admitted) >= 2 * 10 * 10 - 4);
    }

    TEST_CASE("In a split each side gives out its part of the limit")
    {
        Fleet side(4, {80, 8});
        for (const auto &view : side.views)
            view->share = 0.5;
        side.run({100, 100}, 0, 5);
        CHECK(sum(side.run({100, 100}, 5, 10)) <= 40 * 10 + 8);
    }

    TEST_CASE("A customer at all of many entries costs its limiter a bounded number of messages")
    {
        Fleet fleet(100, {200, 100});
        fleet.run(std::vector<int>(100, 2), 0, 10);
        fleet.messages = 0;
        const double admitted = sum(fleet.run(std::vector<int>(100, 2), 10, 20));
        // 20 demands a second and as many shares; reporting each second would be 200.
        CHECK(fleet.messages <= 42 * 20);
        CHECK(admitted >= 0.9 * 200 * 20);
        CHECK(admitted <= 200 * 20 + 100);
    }

    TEST_CASE("A customer without a limit, and one that left the text, costs nothing")
    {
        Fleet fleet(2, {0, 0});
        CHECK(sum(fleet.run({50}, 0, 1)) == 50);
        CHECK(fleet.messages == 0);
    }
}
