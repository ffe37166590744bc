#include <apricothook_gateway_bench.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

TEST_CASE("a plain answer is passed on unchanged")
{
    GatewayBench bench;
    HeldConnection &caller = bench.connect();
    caller.socket.send(GatewayBench::request("once", "a", "ticket"));
    ScriptedTarget *target = bench.targetWith();
    REQUIRE(target);
    CHECK(target->connection(0).has("POST /once/x HTTP/1.1\r\n"));
    CHECK(target->connection(0).has("Only: t0\r\n"));
    CHECK(target->connection(0).received.ends_with("\r\n\r\nticket"));
    target->connection(0).socket.send(wholeAnswer("a", "filed"));
    REQUIRE(bench.until([&] { return caller.has("filed"); }));
    CHECK(caller.has("HTTP/1.1 200 OK\r\n"));
    CHECK(caller.has("Signed: yes\r\n"));
}

TEST_CASE("connections to callers and targets serve one request after the other")
{
    GatewayBench bench;
    HeldConnection &caller = bench.connect();
    for (const std::string id : {"a", "b", "c"}) {
        const std::size_t before = bench.target(0).requests();
        caller.socket.send(GatewayBench::request("once", id));
        REQUIRE(bench.until([&] { return bench.target(0).requests() == before + 1; }));
        bench.target(0).connection(0).socket.send(wholeAnswer(id, "answer-" + id));
        REQUIRE(bench.until([&] { return caller.has("answer-" + id); }));
    }
    CHECK(bench.target(0).connections.size() == 1);
}

TEST_CASE("an answer without a length ends with an orderly end only")
{
    // The caller sees the whole answer if its target closes in order. After a reset nobody knows
    // whether more was to come, so the caller hears that the request may have run.
    for (const bool orderly : {true, false}) {
        CAPTURE(orderly);
        GatewayBench bench;
        HeldConnection &caller = bench.connect();
        caller.socket.send(GatewayBench::request("once", "a"));
        ScriptedTarget *target = bench.targetWith();
        REQUIRE(target);
        target->connection(0).socket.send("HTTP/1.1 200 OK\r\nId: a\r\nSigned: yes\r\n\r\npart");
        bench.settle();
        if (orderly)
            target->connection(0).socket.close();
        else
            target->connection(0).socket.abort();
        REQUIRE(bench.until([&] { return caller.has("HTTP/1.1 "); }));
        CHECK(caller.has(orderly ? "HTTP/1.1 200 " : "HTTP/1.1 502 "));
        CHECK(caller.has("part") == orderly);
    }
}

TEST_CASE("a second answer never reaches the next request")
{
    // The caller sees each request's own answer. The target answers the first request twice, the
    // second time late, where the next request's answer is due; its id tells whose it is.
    GatewayBench bench;
    HeldConnection &caller = bench.connect();
    caller.socket.send(GatewayBench::request("once", "a"));
    ScriptedTarget *target = bench.targetWith();
    REQUIRE(target);
    target->connection(0).socket.send(wholeAnswer("a", "first"));
    REQUIRE(bench.until([&] { return caller.has("first"); }));
    caller.socket.send(GatewayBench::request("once", "b"));
    REQUIRE(bench.until([&] { return target->requests() == 2; }));
    HeldConnection &run = *target->connections.back();
    run.socket.send(wholeAnswer("a", "stray"));
    bench.settle();
    CHECK_FALSE(caller.has("stray"));
    run.socket.send(wholeAnswer("b", "second"));
    CHECK(bench.until([&] { return caller.has("second"); }));
    CHECK(bench.log.count(GatewayEvent::AnswerDiscarded) == 1);
}

TEST_CASE("bytes behind an answer end the channel")
{
    // The caller sees its answer alone. The target sends a second answer right behind the first;
    // the channel is closed, so that the next request doesn't meet it.
    GatewayBench bench;
    HeldConnection &caller = bench.connect();
    caller.socket.send(GatewayBench::request("once", "a"));
    ScriptedTarget *target = bench.targetWith();
    REQUIRE(target);
    target->connection(0).socket.send(wholeAnswer("a", "first") + wholeAnswer("a", "again"));
    REQUIRE(bench.until([&] { return caller.has("first"); }));
    CHECK(bench.until([&] { return target->connection(0).end.has_value(); }));
    CHECK_FALSE(caller.has("again"));
}

TEST_CASE("an answer that comes before the request was read ends the channel")
{
    // The caller sees the early answer. The target reads on where it stopped, so the rest of the
    // body is all that may follow on this channel: it isn't used for another request.
    GatewayBench bench;
    bench.gateway.setConfiguration([] {
        ServingConfiguration configuration = GatewayBench::configuration();
        configuration.limits.bodyBytes = 64 << 20;
        return std::make_shared<const RouteTable>(configuration);
    }());
    HeldConnection &caller = bench.connect();
    bench.settle();
    bench.target(0).connections.clear();
    caller.socket.send(GatewayBench::request("once", "a", std::string(32 << 20, 'x')));
    REQUIRE(bench.until([&] { return bench.target(0).connections.size() == 1; }));
    HeldConnection &run = bench.target(0).connection(0);
    run.socket.setReading(false);
    run.socket.send(wholeAnswer("a", "early"));
    REQUIRE(bench.until([&] { return caller.has("early"); }));
    caller.socket.send(GatewayBench::request("once", "b"));
    REQUIRE(bench.until([&] { return bench.target(0).connections.size() == 2; }));
    CHECK(bench.until([&] { return bench.target(0).connection(1).has("Id: b\r\n"); }));
}

TEST_CASE("a request that must not run twice isn't sent again after a reset")
{
    // The caller hears that the request may have run. Its target reads the whole request and resets
    // the connection: nobody can tell whether it ran.
    GatewayBench bench(2);
    HeldConnection &caller = bench.connect();
    caller.socket.send(GatewayBench::request("once", "a"));
    ScriptedTarget *target = bench.targetWith();
    REQUIRE(target);
    target->connection(0).socket.abort();
    REQUIRE(bench.until([&] { return caller.has("\r\n\r\n"); }));
    CHECK(caller.has("HTTP/1.1 502 "));
    CHECK(bench.target(0).requests() + bench.target(1).requests() == 1);
}

TEST_CASE("an idempotent request is answered by another target after a reset")
{
    GatewayBench bench(2);
    HeldConnection &caller = bench.connect();
    caller.socket.send(GatewayBench::request("idempotent", "a"));
    ScriptedTarget *first = bench.targetWith();
    REQUIRE(first);
    ScriptedTarget &second = bench.target(first == &bench.target(0) ? 1 : 0);
    first->connection(0).socket.abort();
    REQUIRE(bench.until([&] { return second.requests() == 1; }));
    second.connection(0).socket.send(wholeAnswer("a", "tile"));
    CHECK(bench.until([&] { return caller.has("tile"); }));
}

TEST_CASE("a request that every target refuses is said not to have run")
{
    // The caller hears that its request didn't run and when to come back. Both targets state that
    // they had no room, so even a request that must not run twice may go to the second one.
    GatewayBench bench(2);
    HeldConnection &caller = bench.connect();
    caller.socket.send(GatewayBench::request("once", "a"));
    const std::string full
        = "HTTP/1.1 503 Full\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    ScriptedTarget *first = bench.targetWith();
    REQUIRE(first);
    ScriptedTarget &second = bench.target(first == &bench.target(0) ? 1 : 0);
    first->connection(0).socket.send(full);
    REQUIRE(bench.until([&] { return second.requests() == 1; }));
    second.connection(0).socket.send(full);
    REQUIRE(bench.until([&] { return caller.has("\r\n\r\n"); }));
    CHECK(caller.has("HTTP/1.1 503 "));
    CHECK(caller.has("Retry-After: "));
}

TEST_CASE("a request is taken to another target when the address belongs to a stranger")
{
    // The caller sees the right target's answer. Its first target ended and another service has the
    // address now; it says so and didn't run the request.
    GatewayBench bench(2);
    HeldConnection &caller = bench.connect();
    caller.socket.send(GatewayBench::request("once", "a"));
    ScriptedTarget *first = bench.targetWith();
    REQUIRE(first);
    ScriptedTarget &second = bench.target(first == &bench.target(0) ? 1 : 0);
    first->connection(0).socket.send("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(bench.until([&] { return second.requests() == 1; }));
    second.connection(0).socket.send(wholeAnswer("a", "right"));
    CHECK(bench.until([&] { return caller.has("right"); }));
}

TEST_CASE("a success without the target's proof isn't passed on")
{
    // The caller hears that the request may have run. Something answered 200 without the proof that
    // the answer is the target's.
    GatewayBench bench;
    HeldConnection &caller = bench.connect();
    caller.socket.send(GatewayBench::request("once", "a"));
    ScriptedTarget *target = bench.targetWith();
    REQUIRE(target);
    target->connection(0).socket.send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nfake");
    REQUIRE(bench.until([&] { return caller.has("\r\n\r\n"); }));
    CHECK(caller.has("HTTP/1.1 502 "));
    CHECK_FALSE(caller.has("fake"));
}

TEST_CASE("bytes that are no answer end the request")
{
    GatewayBench bench;
    HeldConnection &caller = bench.connect();
    caller.socket.send(GatewayBench::request("once", "a"));
    ScriptedTarget *target = bench.targetWith();
    REQUIRE(target);
    target->connection(0).socket.send("\x01\x02 nonsense\r\n\r\n");
    REQUIRE(bench.until([&] { return caller.has("\r\n\r\n"); }));
    CHECK(caller.has("HTTP/1.1 502 "));
}

TEST_CASE("a request without an answer ends at its route's time limit")
{
    // The caller hears at the time limit that the request may have run. Its target reads the
    // request and stays silent; the request may not be sent elsewhere.
    GatewayBench bench(2);
    HeldConnection &caller = bench.connect();
    caller.socket.send(GatewayBench::request("once", "a"));
    ScriptedTarget *target = bench.targetWith();
    REQUIRE(target);
    bench.clock.advance(std::chrono::milliseconds(10'100));
    REQUIRE(bench.until([&] { return caller.has("\r\n\r\n"); }));
    CHECK(caller.has("HTTP/1.1 504 "));
    CHECK(bench.until([&] { return target->connection(0).end.has_value(); }));
    CHECK(bench.target(0).requests() + bench.target(1).requests() == 1);
}

TEST_CASE("an idempotent request leaves a silent target")
{
    // The caller sees the second target's answer. The first one reads the request on a connection
    // that then carries nothing more, without a reset.
    GatewayBench bench(2);
    HeldConnection &caller = bench.connect();
    caller.socket.send(GatewayBench::request("idempotent", "a"));
    ScriptedTarget *first = bench.targetWith();
    REQUIRE(first);
    ScriptedTarget &second = bench.target(first == &bench.target(0) ? 1 : 0);
    bench.clock.advance(std::chrono::seconds(2));
    REQUIRE(bench.until([&] { return second.requests() == 1; }));
    second.connection(0).socket.send(wholeAnswer("a", "tile"));
    CHECK(bench.until([&] { return caller.has("tile"); }));
    CHECK(first->connection(0).end.has_value());
}
