#include "apricothook_steward_fakes.hpp"

#include <doctest/doctest.h>

#include <map>
#include <utility>

using namespace Apricothook;
using namespace Apricothook::Testing;

namespace {

/** Runs what is reserved for one second each, and counts what was reserved at once. */
int topTierAtOnce(const StewardPolicy &policy)
{
    Bench bench(fleet(3, 8), policy);
    std::map<Instant, std::vector<AttemptId>> ends;
    std::map<AttemptId, bool> isSeen;
    int atOnce = 0;
    for (int step = 0; step < 400; ++step) {
        bench.pass(50ms);
        while (!ends.empty() && ends.begin()->first <= bench.now) {
            for (const AttemptId &attempt : ends.begin()->second)
                bench.release(attempt);
            ends.erase(ends.begin());
        }
        for (int low = 0; low < 2; ++low)
            bench.ask(bench.request(5));
        if (step % 10 == 0) {
            const std::optional<ReserveReply> reply = bench.ask(bench.request(1));
            atOnce += reply && reply->verdict == ReserveVerdict::Reserved ? 1 : 0;
        }
        for (const OutgoingMessage &outgoing : bench.out) {
            const auto *reply = std::get_if<ReserveReply>(&outgoing.message);
            if (reply && reply->verdict == ReserveVerdict::Reserved
                && !std::exchange(isSeen[reply->attempt], true))
                ends[bench.now + 1s].push_back(reply->attempt);
        }
        bench.out.clear();
    }
    return atOnce;
}

} // namespace

TEST_SUITE("[steward][pressure]")
{
    TEST_CASE("Slots left by the lower tiers let the top tier start at once")
    {
        // Low work of 40 requests a second meets 24 slots of one second each: all are always full.
        // A planner's request with short patience would wait for the next slot every time.
        StewardPolicy none;
        none.trunkDivisor = 1000;
        const int without = topTierAtOnce(none);
        const int with = topTierAtOnce(StewardPolicy());
        MESSAGE("top tier at once, of 40: without trunk " << without << ", with trunk " << with);
        CHECK(with >= 38);
        CHECK(without < with);
    }

    TEST_CASE("Lower work that runs is left: cancelling it wins little and wastes its prefill")
    {
        // Four slots hold low requests with prompts of 1,900 tokens, one second before their end,
        // when four of the top tier come. Left alone, the top tier waits a second; cancelled, none
        // at all, but four prefills are thrown away, and spent again when the callers come back.
        for (const bool isCancelling : {false, true}) {
            Bench bench(fleet(1, 4));
            std::vector<ReserveRequest> low;
            for (int count = 0; count < 4; ++count) {
                low.push_back(bench.request(5, "c", 1900, 50));
                bench.ask(low.back());
            }
            bench.pass(500ms);
            std::vector<ReserveRequest> top;
            for (int count = 0; count < 4; ++count) {
                top.push_back(bench.request(1));
                top.back().patienceLeft = 5s;
                bench.ask(top.back());
            }
            std::uint32_t wasted = 0;
            for (const ReserveRequest &request : low) {
                if (!isCancelling || bench.verdict(request.attempt) != ReserveVerdict::Reserved)
                    continue;
                wasted += request.promptTokens;
                bench.release(request.attempt, RunEnd::Cancelled);
            }
            bench.pass(1s);
            for (const ReserveRequest &request : low) {
                if (!isCancelling && bench.verdict(request.attempt) == ReserveVerdict::Reserved)
                    bench.release(request.attempt);
            }
            int served = 0;
            for (const ReserveRequest &request : top)
                served += bench.verdict(request.attempt) == ReserveVerdict::Reserved ? 1 : 0;
            MESSAGE(std::string(isCancelling ? "cancelled" : "left")
                    << ": top tier in time " << served << " of 4, prefill wasted " << wasted);
            CHECK(served == 4);
            CHECK((wasted > 0) == isCancelling);
        }
    }

    TEST_CASE("A shed request is told to come back when its tier can be open again")
    {
        // The top tier fills the only target and waits, so all below are shut. The queue ahead of a
        // request of tier 4 is short; by it alone the caller would come back after half a second,
        // and be refused again each time until the floor has fallen to its tier.
        const StewardPolicy policy;
        Bench bench(fleet(1, 1), policy);
        bench.ask(bench.request(1));
        ReserveRequest pressed = bench.request(1);
        pressed.patienceLeft = 1500ms;
        bench.ask(pressed);
        const std::optional<ReserveReply> shed = bench.ask(bench.request(4));
        REQUIRE(shed);
        CHECK(shed->verdict == ReserveVerdict::Shed);
        CHECK(shed->retryAfter >= 3 * policy.floorCalm);
        CHECK(shed->retryAfter < 10 * policy.floorCalm);
    }

    TEST_CASE("A request that no target can finish within the margin doesn't shut the lower tiers")
    {
        // The answer takes 1.1 s on an idle target and the caller waits 1.2 s. It is never placed,
        // as that is beyond the margin. If it waited, it would press on the floor, and every tier
        // below would be refused for seconds though all targets are free.
        Bench bench(fleet(2, 4));
        ReserveRequest tight = bench.request(2);
        tight.patienceLeft = 1200ms;
        const std::optional<ReserveReply> reply = bench.ask(tight);
        REQUIRE(reply);
        CHECK(reply->verdict == ReserveVerdict::PatienceTooShort);
        const ReserveRequest low = bench.request(5);
        bench.ask(low);
        CHECK(bench.verdict(low.attempt) == ReserveVerdict::Reserved);
    }
}
