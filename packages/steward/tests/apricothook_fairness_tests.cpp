#include "apricothook_steward_fakes.hpp"

#include <apricothook/steward/internal/apricothook_fair_queue.hpp>

#include <doctest/doctest.h>

#include <map>

using namespace Apricothook;
using namespace Apricothook::Testing;

namespace {

/** Fills a bench with one slot, queues requests, then serves them one by one in order. */
class Line
{
public:
    Line(Bench &bench) : m_bench(bench), m_running(bench.request(1, "first"))
    {
        bench.ask(m_running);
    }
    void add(const ReserveRequest &request)
    {
        m_waiting[request.attempt] = request;
        m_bench.ask(request);
    }
    /** Ends what runs; gives the request that runs next. */
    std::optional<ReserveRequest> next()
    {
        const std::size_t before = m_bench.out.size();
        m_bench.now += 100ms;
        m_bench.release(m_running.attempt);
        for (const auto &[attempt, request] : m_waiting) {
            const std::optional<ReserveReply> reply = m_bench.lastReply(attempt, before);
            if (reply && reply->verdict == ReserveVerdict::Reserved) {
                m_running = request;
                m_waiting.erase(attempt);
                return m_running;
            }
        }
        return std::nullopt;
    }

private:
    Bench &m_bench;
    ReserveRequest m_running;
    std::map<AttemptId, ReserveRequest> m_waiting;
};

ReserveRequest patient(ReserveRequest request)
{
    request.patienceLeft = 1h;
    return request;
}

} // namespace

TEST_SUITE("[steward][fairness]")
{
    TEST_CASE("A small customer isn't starved by a large one of its tier")
    {
        // A large customer floods the queue, then a small one asks for little. In order of arrival
        // the small one would wait for the whole flood and lose its patience.
        FleetText text = fleet(1, 1);
        Customer large;
        large.id = CustomerId("large");
        Customer small;
        small.id = CustomerId("small");
        SUBCASE("equal weights give equal shares") { }
        SUBCASE("weights give shares in proportion")
        {
            large.weight = 3;
        }
        text.customers = {large, small};
        Bench bench(text);
        Line line(bench);
        for (int count = 0; count < 100; ++count)
            line.add(patient(bench.request(2, "large")));
        for (int count = 0; count < 20; ++count)
            line.add(patient(bench.request(2, "small")));
        int smallOnes = 0;
        for (int count = 0; count < 40; ++count) {
            const std::optional<ReserveRequest> served = line.next();
            REQUIRE(served);
            smallOnes += served->customer.text() == "small" ? 1 : 0;
        }
        const int expected = 40 / static_cast<int>(large.weight + 1);
        CHECK(smallOnes >= expected - 2);
        CHECK(smallOnes <= expected + 2);
    }

    TEST_CASE("Tiers are strict: nothing lower is reserved while a higher one waits for the target")
    {
        Bench bench(fleet(1, 1));
        Line line(bench);
        for (const std::uint8_t tier : {5, 3, 1, 4, 2, 1})
            line.add(patient(bench.request(tier, "c" + std::to_string(tier))));
        std::uint8_t last = 1;
        for (int count = 0; count < 6; ++count) {
            const std::optional<ReserveRequest> served = line.next();
            REQUIRE(served);
            CHECK(served->tier.rank() >= last);
            last = served->tier.rank();
        }
    }

    TEST_CASE("A lower tier doesn't take a slot that a waiting higher one is too big for")
    {
        // The higher request needs more memory than is free now. If lower ones went on filling what
        // becomes free, it would never fit.
        Bench bench(fleet(1, 4));
        const ReserveRequest first = bench.request(2, "c", 150000, 100);
        CHECK(bench.ask(patient(first))->verdict == ReserveVerdict::Reserved);
        const ReserveRequest big = patient(bench.request(2, "d", 150000, 100));
        CHECK(bench.ask(big)->verdict == ReserveVerdict::Queued);
        const ReserveRequest low = patient(bench.request(3));
        CHECK(bench.ask(low)->verdict == ReserveVerdict::Queued);
        CHECK(bench.ask(patient(bench.request(1)))->verdict == ReserveVerdict::Reserved);
        bench.release(first.attempt);
        CHECK(bench.verdict(big.attempt) == ReserveVerdict::Reserved);
        CHECK(bench.verdict(low.attempt) == ReserveVerdict::Reserved);
    }

    TEST_CASE("Small requests pass a big one that doesn't fit yet, but only so often")
    {
        // A steady flow of small requests takes each slot as it becomes free, while a big one waits
        // for memory. Without a bound it would wait for good.
        const auto make = [](std::uint64_t number, const std::string &customer) {
            WaitingRequest waiting;
            waiting.request.attempt = Bench::attempt(number);
            waiting.request.customer = CustomerId(customer);
            waiting.candidates = 1;
            waiting.cost = 100;
            return waiting;
        };
        FairQueue queue;
        WaitingRequest big = make(0, "big");
        queue.push(big, 1);
        std::list<WaitingRequest> flow;
        for (std::uint64_t number = 1; number <= 40; ++number)
            queue.push(flow.emplace_back(make(number, "small")), 1);
        int passed = 0;
        bool fits = false;
        const auto place = [&](WaitingRequest &waiting, TargetMask) {
            const bool isBig = &waiting == &big;
            passed += isBig ? 0 : 1;
            return !isBig || fits;
        };
        queue.serve(1, {8, 8}, place);
        CHECK(passed == 8);
        queue.serve(1, {8, 8}, place);
        CHECK(passed == 8);
        fits = true;
        queue.serve(1, {8, 8}, place);
        CHECK(queue.size() == 0);
    }
}
