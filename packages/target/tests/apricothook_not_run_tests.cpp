#include "apricothook_scripted_target.hpp"
#include "apricothook_target_bench.hpp"

using namespace Apricothook;

TEST_SUITE("[target][not-run]")
{
    TEST_CASE("An order that is taken up after notAfter sends nothing")
    {
        // The daemon was paused between the grant and the sending; its home has given the request
        // up meanwhile. The caller may be told "not run" only if nothing leaves now.
        RequestLog log;
        const ScriptedTarget target(
            [&log](ScriptedConnection &connection, int) { log.add(connection.readRequest()); });
        TargetBench bench;
        DispatchOrder order = bench.order(target.address());
        order.notAfter = bench.clock.now() - std::chrono::microseconds(1);
        const DispatchEnded ended = bench.run(order);
        CHECK(ended.end == RunEnd::TimedOut);
        CHECK(ended.isProvenNotRun);
        CHECK(target.connections() == 0);
    }

    TEST_CASE("A process that is paused while it connects sends nothing afterwards")
    {
        // The connection stands, the process is paused before the first byte and wakes up after
        // notAfter. Here each look at the clock is a second later than the one before.
        class JumpingClock : public Clock
        {
        public:
            Instant now() const override { return Instant(std::chrono::seconds(++m_looks)); }
            std::uint64_t wallMilliseconds() const override { return 0; }

        private:
            mutable std::atomic<std::int64_t> m_looks = 0;
        };
        RequestLog log;
        const ScriptedTarget target(
            [&log](ScriptedConnection &connection, int) { log.add(connection.readRequest()); });
        TargetBench bench;
        JumpingClock clock;
        RecordingInbox inbox;
        TargetClient client(inbox, clock);
        DispatchOrder order = bench.order(target.address());
        order.deadlines.connect = std::chrono::hours(1);
        order.deadlines.end = Instant(std::chrono::hours(100));
        // Passed between the look before the connection and the one before the first byte.
        order.notAfter = Instant(std::chrono::seconds(2));
        REQUIRE(client.order(order));
        REQUIRE(client.start());
        REQUIRE(waitUntil([&] { return !inbox.all<DispatchEnded>().empty(); }));
        CHECK(inbox.all<DispatchEnded>()[0].isProvenNotRun);
        client.stop();
        CHECK(waitUntil([&] { return target.connections() == 0 || !log.all().empty(); }));
        for (const std::string &request : log.all())
            CHECK(request.empty());
    }

    TEST_CASE("A target that can't be reached proves that the request did not run")
    {
        Endpoint gone;
        {
            const ScriptedTarget target([](ScriptedConnection &, int) {});
            gone = target.address();
        }
        TargetBench bench;
        const DispatchEnded ended = bench.run(bench.order(gone));
        CHECK(ended.end == RunEnd::ConnectFailed);
        CHECK(ended.isProvenNotRun);
    }

    TEST_CASE("A refusal counts as not run only when the target's protocol says so")
    {
        std::string header;
        ServiceKind kind = ServiceKind::Engine;
        bool isProven = true;
        SUBCASE("engine")
        {
            header = "Engine-Not-Run: true\r\n";
        }
        SUBCASE("service")
        {
            header = "service-not-run: TRUE\r\n";
            kind = ServiceKind::Plain;
        }
        SUBCASE("another kind's header")
        {
            header = "Service-Not-Run: true\r\n";
            isProven = false;
        }
        SUBCASE("no header")
        {
            isProven = false;
        }
        const ScriptedTarget target([&](ScriptedConnection &connection, int) {
            connection.readRequest();
            connection.send(plainAnswer("503 Full", header, "full"));
            connection.waitForEnd();
        });
        TargetBench bench;
        const DispatchOrder order = bench.order(target.address(), kind);
        const DispatchEnded ended = bench.run(order);
        CHECK(ended.status == 503);
        CHECK(ended.isProvenNotRun == isProven);
        CHECK(ended.end == (isProven ? RunEnd::Refused : RunEnd::Answered));
        CHECK(textOf(*order.answer) == (isProven ? "" : "full"));
    }

    TEST_CASE("A silent plain service ends as unknown by our own deadline")
    {
        // Something between the two ends has lost track of the connection: no byte and no reset
        // comes, and the kernel would wait for many minutes.
        RequestLog log;
        const ScriptedTarget target([&](ScriptedConnection &connection, int) {
            log.add(connection.readRequest());
            connection.waitForEnd();
        });
        TargetBench bench;
        const DispatchOrder order = bench.order(target.address());
        REQUIRE(bench.client.order(order));
        REQUIRE(waitUntil([&] { return log.all().size() == 1; }));
        bench.clock.advance(order.deadlines.firstByte + std::chrono::seconds(1));
        const DispatchEnded ended = bench.end(order);
        CHECK(ended.end == RunEnd::TimedOut);
        CHECK_FALSE(ended.isProvenNotRun);
        CHECK(log.all().size() == 1);
    }

    TEST_CASE("A stopped client ends every order, and one from its ring as not run")
    {
        TargetBench bench;
        TargetClient client(bench.inbox, bench.clock);
        const DispatchOrder order = bench.order(Endpoint {"127.0.0.1", 1});
        REQUIRE(client.start());
        client.stop();
        CHECK_FALSE(client.order(order));
        TargetOptions small;
        small.ringCapacity = 2;
        TargetClient full(bench.inbox, bench.clock, small);
        CHECK(full.order(order));
        int accepted = 1;
        while (accepted < 10 && full.order(order))
            ++accepted;
        CHECK(accepted == 2);
        full.stop();
        const std::vector<DispatchEnded> ends = bench.inbox.all<DispatchEnded>();
        REQUIRE(ends.size() == 2);
        CHECK(ends[1].isProvenNotRun);
    }

    TEST_CASE("A path or header that would begin another request is never sent")
    {
        RequestLog log;
        const ScriptedTarget target(
            [&log](ScriptedConnection &connection, int) { log.add(connection.readRequest()); });
        TargetBench bench;
        DispatchOrder order = bench.order(target.address());
        SUBCASE("path")
        {
            order.path = "/a HTTP/1.1\r\nHost: x\r\n\r\nPOST /b";
        }
        SUBCASE("header")
        {
            order.headers = {{"X", "1\r\nIdempotency-Key: other"}};
        }
        CHECK(bench.run(order).isProvenNotRun);
        CHECK(target.connections() == 0);
    }
}
