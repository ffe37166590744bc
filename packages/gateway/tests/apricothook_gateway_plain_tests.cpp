#include <apricothook_gateway_fixture.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

TEST_CASE("a response that is not a stream is forwarded unchanged")
{
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("once", "a", "ticket"));
    ScriptedTarget *target = fixture.waitForTarget();
    REQUIRE(target);
    CHECK(target->connection(0).has("POST /once/x HTTP/1.1\r\n"));
    CHECK(target->connection(0).has("Only: t0\r\n"));
    CHECK(target->connection(0).received.ends_with("\r\n\r\nticket"));
    target->connection(0).socket.send(signedResponse("a", "filed"));
    REQUIRE(fixture.runUntil([&] { return caller.has("filed"); }));
    CHECK(caller.has("HTTP/1.1 200 OK\r\n"));
    CHECK(caller.has("Signed: yes\r\n"));
}

TEST_CASE("connections to callers and targets are reused for consecutive requests")
{
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    for (const std::string id : {"a", "b", "c"}) {
        const std::size_t before = fixture.target(0).requests();
        caller.socket.send(GatewayFixture::request("once", id));
        REQUIRE(fixture.runUntil([&] { return fixture.target(0).requests() == before + 1; }));
        fixture.target(0).connection(0).socket.send(signedResponse(id, "answer-" + id));
        REQUIRE(fixture.runUntil([&] { return caller.has("answer-" + id); }));
    }
    CHECK(fixture.target(0).connections.size() == 1);
}

TEST_CASE("a response without a length is complete only after an orderly close")
{
    // If the target closes in order, the response is forwarded. After a reset it may be truncated,
    // so the caller gets 502: the request may have run.
    for (const bool orderly : {true, false}) {
        CAPTURE(orderly);
        GatewayFixture fixture;
        RecordingConnection &caller = fixture.connect();
        caller.socket.send(GatewayFixture::request("once", "a"));
        ScriptedTarget *target = fixture.waitForTarget();
        REQUIRE(target);
        target->connection(0).socket.send("HTTP/1.1 200 OK\r\nId: a\r\nSigned: yes\r\n\r\npart");
        fixture.runPendingEvents();
        if (orderly)
            target->connection(0).socket.close();
        else
            target->connection(0).socket.abort();
        REQUIRE(fixture.runUntil([&] { return caller.has("HTTP/1.1 "); }));
        CHECK(caller.has(orderly ? "HTTP/1.1 200 " : "HTTP/1.1 502 "));
        CHECK(caller.has("part") == orderly);
    }
}

TEST_CASE("a duplicate response is not taken for the response to the next request")
{
    // The target responds to the first request twice. The duplicate arrives when the response to
    // the second request is due; it is recognized by its id and discarded.
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("once", "a"));
    ScriptedTarget *target = fixture.waitForTarget();
    REQUIRE(target);
    target->connection(0).socket.send(signedResponse("a", "first"));
    REQUIRE(fixture.runUntil([&] { return caller.has("first"); }));
    caller.socket.send(GatewayFixture::request("once", "b"));
    REQUIRE(fixture.runUntil([&] { return target->requests() == 2; }));
    RecordingConnection &run = *target->connections.back();
    run.socket.send(signedResponse("a", "stray"));
    fixture.runPendingEvents();
    CHECK_FALSE(caller.has("stray"));
    run.socket.send(signedResponse("b", "second"));
    CHECK(fixture.runUntil([&] { return caller.has("second"); }));
    CHECK(fixture.log.count(GatewayEvent::AnswerDiscarded) == 1);
}

TEST_CASE("bytes after a complete response close the channel")
{
    // The target sends a second response directly after the first. Only the first is forwarded, and
    // the channel is closed so that the second can't be taken for the next response.
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("once", "a"));
    ScriptedTarget *target = fixture.waitForTarget();
    REQUIRE(target);
    target->connection(0).socket.send(signedResponse("a", "first") + signedResponse("a", "again"));
    REQUIRE(fixture.runUntil([&] { return caller.has("first"); }));
    CHECK(fixture.runUntil([&] { return target->connection(0).end.has_value(); }));
    CHECK_FALSE(caller.has("again"));
}

TEST_CASE("a response that arrives before the request was sent closes the channel")
{
    // The early response is forwarded. The target would read the next request on this channel as
    // the rest of the body, so the channel must not be reused.
    GatewayFixture fixture;
    fixture.gateway.setConfiguration([] {
        ServingConfiguration configuration = GatewayFixture::configuration();
        configuration.limits.bodyBytes = 64 << 20;
        return std::make_shared<const RouteTable>(configuration);
    }());
    RecordingConnection &caller = fixture.connect();
    fixture.runPendingEvents();
    fixture.target(0).connections.clear();
    caller.socket.send(GatewayFixture::request("once", "a", std::string(32 << 20, 'x')));
    REQUIRE(fixture.runUntil([&] { return fixture.target(0).connections.size() == 1; }));
    RecordingConnection &run = fixture.target(0).connection(0);
    run.socket.setReading(false);
    run.socket.send(signedResponse("a", "early"));
    REQUIRE(fixture.runUntil([&] { return caller.has("early"); }));
    caller.socket.send(GatewayFixture::request("once", "b"));
    REQUIRE(fixture.runUntil([&] { return fixture.target(0).connections.size() == 2; }));
    CHECK(fixture.runUntil([&] { return fixture.target(0).connection(1).has("Id: b\r\n"); }));
}

TEST_CASE("a request that is not idempotent is not retried after a reset")
{
    // The target reads the complete request and resets the connection. It is unknown whether the
    // request ran, so the caller gets 502.
    GatewayFixture fixture(2);
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("once", "a"));
    ScriptedTarget *target = fixture.waitForTarget();
    REQUIRE(target);
    target->connection(0).socket.abort();
    REQUIRE(fixture.runUntil([&] { return caller.has("\r\n\r\n"); }));
    CHECK(caller.has("HTTP/1.1 502 "));
    CHECK(fixture.target(0).requests() + fixture.target(1).requests() == 1);
}

TEST_CASE("an idempotent request is retried on another target after a reset")
{
    GatewayFixture fixture(2);
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("idempotent", "a"));
    ScriptedTarget *first = fixture.waitForTarget();
    REQUIRE(first);
    ScriptedTarget &second = fixture.target(first == &fixture.target(0) ? 1 : 0);
    first->connection(0).socket.abort();
    REQUIRE(fixture.runUntil([&] { return second.requests() == 1; }));
    second.connection(0).socket.send(signedResponse("a", "tile"));
    CHECK(fixture.runUntil([&] { return caller.has("tile"); }));
}

TEST_CASE("a request that every target refuses is rejected as not run")
{
    // Both targets state that they had no free slot and didn't run the request, so even a request
    // that is not idempotent is sent to the second one. The caller gets 503 with a Retry-After.
    GatewayFixture fixture(2);
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("once", "a"));
    const std::string full
        = "HTTP/1.1 503 Full\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    ScriptedTarget *first = fixture.waitForTarget();
    REQUIRE(first);
    ScriptedTarget &second = fixture.target(first == &fixture.target(0) ? 1 : 0);
    first->connection(0).socket.send(full);
    REQUIRE(fixture.runUntil([&] { return second.requests() == 1; }));
    second.connection(0).socket.send(full);
    REQUIRE(fixture.runUntil([&] { return caller.has("\r\n\r\n"); }));
    CHECK(caller.has("HTTP/1.1 503 "));
    CHECK(caller.has("Retry-After: "));
}

TEST_CASE("a request is rejected as not run if no target accepts a connection")
{
    // Callers don't send a request again that may have run.
    GatewayFixture fixture(3);
    for (const std::unique_ptr<ScriptedTarget> &target : fixture.targets)
        target->crash();
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("once", "a", "body"));
    REQUIRE(fixture.runUntil([&] { return caller.has("\r\n\r\n"); }));
    CHECK(caller.has("HTTP/1.1 503 "));
    CHECK(caller.has("Retry-After: "));
}

TEST_CASE("a request is retried if the address now belongs to another target")
{
    // The first target has ended and another service reuses its address. That service responds with
    // 421 and doesn't run the request, so the request is sent to the other target.
    GatewayFixture fixture(2);
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("once", "a"));
    ScriptedTarget *first = fixture.waitForTarget();
    REQUIRE(first);
    ScriptedTarget &second = fixture.target(first == &fixture.target(0) ? 1 : 0);
    first->connection(0).socket.send("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(fixture.runUntil([&] { return second.requests() == 1; }));
    second.connection(0).socket.send(signedResponse("a", "right"));
    CHECK(fixture.runUntil([&] { return caller.has("right"); }));
}

TEST_CASE("an unsigned success response is not forwarded")
{
    // A 200 without the target's signature may come from another process at the address. The caller
    // gets 502: the request may have run.
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("once", "a"));
    ScriptedTarget *target = fixture.waitForTarget();
    REQUIRE(target);
    target->connection(0).socket.send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nfake");
    REQUIRE(fixture.runUntil([&] { return caller.has("\r\n\r\n"); }));
    CHECK(caller.has("HTTP/1.1 502 "));
    CHECK_FALSE(caller.has("fake"));
}

TEST_CASE("a malformed response fails the request")
{
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("once", "a"));
    ScriptedTarget *target = fixture.waitForTarget();
    REQUIRE(target);
    target->connection(0).socket.send("\x01\x02 nonsense\r\n\r\n");
    REQUIRE(fixture.runUntil([&] { return caller.has("\r\n\r\n"); }));
    CHECK(caller.has("HTTP/1.1 502 "));
}

TEST_CASE("a request without a response ends at the timeout of its route")
{
    // The target reads the request and doesn't respond. The request must not be retried; the caller
    // gets 504 at the timeout: the request may have run.
    GatewayFixture fixture(2);
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("once", "a"));
    ScriptedTarget *target = fixture.waitForTarget();
    REQUIRE(target);
    fixture.clock.advance(std::chrono::milliseconds(10'100));
    REQUIRE(fixture.runUntil([&] { return caller.has("\r\n\r\n"); }));
    CHECK(caller.has("HTTP/1.1 504 "));
    CHECK(fixture.runUntil([&] { return target->connection(0).end.has_value(); }));
    CHECK(fixture.target(0).requests() + fixture.target(1).requests() == 1);
}

TEST_CASE("an idempotent request is retried if its target does not respond")
{
    // The first target reads the request and sends nothing, without a reset. The caller gets the
    // response of the second target.
    GatewayFixture fixture(2);
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("idempotent", "a"));
    ScriptedTarget *first = fixture.waitForTarget();
    REQUIRE(first);
    ScriptedTarget &second = fixture.target(first == &fixture.target(0) ? 1 : 0);
    fixture.clock.advance(std::chrono::seconds(2));
    REQUIRE(fixture.runUntil([&] { return second.requests() == 1; }));
    second.connection(0).socket.send(signedResponse("a", "tile"));
    CHECK(fixture.runUntil([&] { return caller.has("tile"); }));
    CHECK(first->connection(0).end.has_value());
}

TEST_CASE("a target whose address another one has is avoided")
{
    // Guards against callers that are refused while the entry of a target that is gone remains.
    GatewayFixture fixture(2);
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("idempotent", "a"));
    ScriptedTarget *gone = fixture.waitForTarget();
    REQUIRE(gone);
    gone->connection(0).socket.send("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
    ScriptedTarget &other = gone == &fixture.target(0) ? fixture.target(1) : fixture.target(0);
    REQUIRE(fixture.runUntil([&] { return other.requests() == 1; }));
    fixture.clock.advance(std::chrono::milliseconds(300));
    for (std::size_t request = 0; request < 3; ++request) {
        fixture.connect().socket.send(
            GatewayFixture::request("idempotent", "b", std::to_string(request)));
        REQUIRE(fixture.runUntil([&] { return other.requests() == request + 2; }));
    }
    CHECK(gone->requests() == 1);
}

TEST_CASE("a long body that breaks off isn't joined with that of another target")
{
    // Guards against bodies of two runs in one response, once a part of the first was forwarded.
    GatewayFixture fixture(2);
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("idempotent", "a"));
    ScriptedTarget *first = fixture.waitForTarget();
    REQUIRE(first);
    ScriptedTarget &second = fixture.target(first == &fixture.target(0) ? 1 : 0);
    constexpr std::size_t Part = (1 << 20) + 1000;
    first->connection(0).socket.send(
        "HTTP/1.1 200 OK\r\nId: a\r\nSigned: yes\r\nContent-Length: 3000000\r\n\r\n"
        + std::string(Part, 'x'));
    REQUIRE(fixture.runUntil([&] { return caller.received.size() > Part / 2; }));
    first->connection(0).socket.abort();
    fixture.runUntil([&] { return caller.end.has_value() || second.requests() > 0; });
    CHECK(caller.end.has_value());
    CHECK(second.requests() == 0);
}
