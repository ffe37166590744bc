#include "apricothook_steward_fakes.hpp"

#include <doctest/doctest.h>

using namespace Apricothook;
using namespace Apricothook::Testing;

TEST_SUITE("[steward][ledger]")
{
    TEST_CASE("A reservation takes a slot once, however often its messages come")
    {
        // The entry sees no reply and sends again; the network doubles and reorders what it sent. A
        // second slot for the same attempt would be lost until its lease ends, and an attempt that
        // its entry took back would hold a slot for nobody.
        Bench bench(fleet(1, 2));
        const ReserveRequest request = bench.request(1);
        const std::optional<ReserveReply> first = bench.ask(request);
        REQUIRE(first);
        CHECK(first->verdict == ReserveVerdict::Reserved);
        SUBCASE("a request sent again gets the same target")
        {
            bench.now += 20ms;
            const std::optional<ReserveReply> again = bench.ask(request);
            REQUIRE(again);
            CHECK(again->verdict == ReserveVerdict::Reserved);
            CHECK(again->target == first->target);
            CHECK(bench.running() == 1);
        }
        SUBCASE("a request that comes after its cancel isn't revived")
        {
            bench.cancel(request.attempt);
            CHECK_FALSE(bench.ask(request));
            CHECK(bench.running() == 0);
        }
        SUBCASE("a request that comes only after its cancel isn't admitted either")
        {
            const ReserveRequest late = bench.request(1);
            bench.cancel(late.attempt);
            CHECK_FALSE(bench.ask(late));
            CHECK(bench.running() == 1);
        }
        SUBCASE("a doubled release frees once")
        {
            bench.ask(bench.request(1));
            bench.release(request.attempt);
            bench.release(request.attempt);
            CHECK(bench.running() == 1);
        }
        SUBCASE("a report that is older than the release doesn't bring it back")
        {
            bench.release(request.attempt);
            InFlight running;
            running.attempt = request.attempt;
            running.target = first->target;
            const InFlightReport report {request.attempt.entry, request.shard, {running}};
            bench.steward.handle(MemberId("a"), report, bench.now, bench.out);
            CHECK(bench.running() == 0);
        }
    }

    TEST_CASE("The slots of a dead entry come back when its lease lapses")
    {
        // An entry reserves and dies. Nobody releases; the reservation isn't renewed by reports and
        // ends after ten seconds, when the next one that waits gets the slot.
        Bench bench(fleet(1, 1));
        const ReserveRequest lost = bench.request(1);
        bench.ask(lost);
        const ReserveRequest next = bench.request(1);
        CHECK(bench.ask(next)->verdict == ReserveVerdict::Queued);
        SUBCASE("without a report it lapses")
        {
            bench.pass(9900ms);
            CHECK(bench.verdict(next.attempt) == ReserveVerdict::Queued);
            bench.pass(200ms);
            CHECK(bench.verdict(next.attempt) == ReserveVerdict::Reserved);
            CHECK(bench.running() == 1);
        }
        SUBCASE("a report renews it")
        {
            bench.pass(9s);
            InFlight running;
            running.attempt = lost.attempt;
            running.target = TargetId("t0");
            const InFlightReport report {lost.attempt.entry, lost.shard, {running}};
            bench.steward.handle(MemberId("a"), report, bench.now, bench.out);
            bench.pass(9s);
            CHECK(bench.verdict(next.attempt) == ReserveVerdict::Queued);
        }
    }

    TEST_CASE("A new steward starts from what the entries report")
    {
        // A steward died. The next one doesn't know what runs on the targets; if it began from zero
        // it would fill every slot a second time. It holds the lower tiers until all entries have
        // reported or a second has passed, and gives the top tier no more than half of the slots.
        Bench bench(fleet(1, 4));
        bench.members.set("b", MemberState::Alive);
        bench.members.set("a", MemberState::Leaving);
        bench.steward.membersChanged(bench.now, bench.out);
        CHECK(bench.steward.shards().empty());
        CHECK(bench.ask(bench.request(1))->verdict == ReserveVerdict::NotSteward);
        bench.members.set("b", MemberState::Leaving);
        bench.members.set("a", MemberState::Alive);
        bench.steward.membersChanged(bench.now, bench.out);
        REQUIRE(bench.steward.shards().size() == 1);

        const ReserveRequest low = bench.request(3);
        CHECK(bench.ask(low)->verdict == ReserveVerdict::Queued);
        std::vector<ReserveRequest> top;
        for (int count = 0; count < 3; ++count) {
            top.push_back(bench.request(1));
            bench.ask(top.back());
        }
        CHECK(bench.running() == 2);
        SUBCASE("the report is counted and ends the wait")
        {
            InFlightReport report {{MemberId("b"), Incarnation(1)}, low.shard, {}};
            for (std::uint64_t id = 1; id <= 2; ++id) {
                InFlight running;
                running.attempt = Bench::attempt(id, "b");
                running.target = TargetId("t0");
                report.running.push_back(running);
            }
            bench.steward.handle(MemberId("b"), report, bench.now, bench.out);
            CHECK(bench.running() == 4);
            CHECK(bench.verdict(low.attempt) == ReserveVerdict::Queued);
        }
        SUBCASE("a silent entry isn't waited for longer than a second")
        {
            bench.pass(900ms);
            CHECK(bench.verdict(low.attempt) == ReserveVerdict::Queued);
            bench.pass(150ms);
            CHECK(bench.verdict(low.attempt) == ReserveVerdict::Reserved);
        }
    }

    TEST_CASE("A leaving target gets nothing from the moment that it is known to leave")
    {
        Bench bench(fleet(2, 1));
        const ReserveRequest first = bench.request(1);
        const TargetId used = bench.ask(first)->target;
        const VmId vm(used.text() == "t0" ? "vm1" : "vm0");
        bench.steward.setLeavingVms({vm}, bench.now, bench.out);
        const ReserveRequest second = bench.request(1);
        CHECK(bench.ask(second)->verdict == ReserveVerdict::Queued);
        SUBCASE("the queue goes to the targets that stay")
        {
            bench.release(first.attempt);
            CHECK(bench.lastReply(second.attempt)->target == used);
        }
        SUBCASE("what waits is told when no target is left")
        {
            bench.steward.setLeavingVms({VmId("vm0"), VmId("vm1")}, bench.now, bench.out);
            CHECK(bench.verdict(second.attempt) == ReserveVerdict::NoTarget);
        }
        SUBCASE("a target that the text drops is left too")
        {
            FleetText text = fleet(2, 1);
            std::erase_if(text.targets, [&](const Target &target) { return target.id == used; });
            bench.apply(text);
            CHECK(bench.verdict(second.attempt) == ReserveVerdict::NoTarget);
        }
    }

    TEST_CASE("A side of a partition takes its share of the slots, but at least one")
    {
        for (const auto &[share, slots] : {std::pair(0.5, 4U), std::pair(0.01, 1U)}) {
            Bench bench(fleet(1, 8));
            bench.members.setShare(share);
            for (int count = 0; count < 10; ++count)
                bench.ask(bench.request(1));
            CHECK(bench.running() == slots);
        }
    }

    TEST_CASE("A failing target is tried again with one request after a growing time")
    {
        // A process dies with ten requests; all ten releases say so. That is one failure, not ten:
        // the target rests for half a second, gets one trial request, and is back when that is
        // answered.
        Bench bench(fleet(1, 10));
        std::vector<ReserveRequest> running;
        for (int count = 0; count < 10; ++count) {
            running.push_back(bench.request(1));
            bench.ask(running.back());
        }
        bench.now += 10ms;
        for (const ReserveRequest &request : running)
            bench.release(request.attempt, RunEnd::Crashed);
        const ReserveRequest trial = bench.request(1);
        const ReserveRequest other = bench.request(1);
        bench.ask(trial);
        bench.ask(other);
        bench.pass(450ms);
        CHECK(bench.running() == 0);
        bench.pass(100ms);
        CHECK(bench.running() == 1);
        REQUIRE(bench.verdict(trial.attempt) == ReserveVerdict::Reserved);
        SUBCASE("an answer brings it back")
        {
            bench.release(trial.attempt);
            CHECK(bench.verdict(other.attempt) == ReserveVerdict::Reserved);
            CHECK(bench.ask(bench.request(1))->verdict == ReserveVerdict::Reserved);
        }
        SUBCASE("another failure doubles the rest")
        {
            bench.release(trial.attempt, RunEnd::ConnectFailed);
            bench.pass(950ms);
            CHECK(bench.running() == 0);
            bench.pass(100ms);
            CHECK(bench.running() == 1);
        }
    }

    // An operator takes a model from a target while another entry still runs a request with it. The
    // steward sends the order to unload; it must not go out before that request has ended.
    TEST_CASE("A model is in use as long as any entry holds room for work with it")
    {
        Bench bench(fleet(1, 2));
        ReserveRequest request = bench.request(1);
        const std::optional<ReserveReply> reply = bench.ask(request);
        REQUIRE(reply);
        CHECK(bench.steward.isInUse(reply->target, request.model));
        CHECK_FALSE(bench.steward.isInUse(reply->target, ModelId("other")));
        bench.release(request.attempt);
        CHECK_FALSE(bench.steward.isInUse(reply->target, request.model));
    }
}
