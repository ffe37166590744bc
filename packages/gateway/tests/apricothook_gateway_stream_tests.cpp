#include <apricothook_gateway_fixture.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

TEST_CASE("a stream is forwarded event by event")
{
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("stream", "a"));
    ScriptedTarget *target = fixture.waitForTarget();
    REQUIRE(target);
    RecordingConnection &run = target->connection(0);

    run.socket.send(streamHead("a") + eventChunk(1));
    CHECK(fixture.runUntil([&] { return caller.has("id: 1\n"); }));
    CHECK_FALSE(endsComplete(caller));
    run.socket.send(eventChunk(2) + std::string(LastChunk));
    CHECK(fixture.runUntil([&] { return endsComplete(caller); }));
    CHECK(caller.has("id: 2\n"));
    CHECK(fixture.log.count(GatewayEvent::RequestAnswered) == 1);
}

TEST_CASE("a resumable stream is resumed on another target within the same response")
{
    // The first target sends one and a half events and resets the connection. The second is asked
    // to resume after the last complete event, so the caller receives each event once.
    GatewayFixture fixture(2);
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("resumable", "a"));
    ScriptedTarget *first = fixture.waitForTarget();
    REQUIRE(first);
    ScriptedTarget &second = fixture.target(first == &fixture.target(0) ? 1 : 0);

    first->connection(0).socket.send(streamHead("a") + eventChunk(1) + writeChunk("id: 2\nda"));
    REQUIRE(fixture.runUntil([&] { return caller.has("id: 1\n"); }));
    first->connection(0).socket.abort();
    REQUIRE(fixture.runUntil([&] { return second.requests() == 1; }));
    CHECK(second.connection(0).has("Last: 1\r\n"));
    second.connection(0).socket.send(streamHead("a") + eventChunk(2) + std::string(LastChunk));
    REQUIRE(fixture.runUntil([&] { return endsComplete(caller); }));
    CHECK(caller.received.find("id: 2\n") == caller.received.rfind("id: 2\n"));
}

TEST_CASE("a stream that no target can resume does not look complete")
{
    // The first target resets the connection after an event, and the one that should resume the
    // stream responds with an error. The error's body must not be appended to the stream, and the
    // caller's connection must end without the last chunk.
    GatewayFixture fixture(2);
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("resumable", "a"));
    ScriptedTarget *first = fixture.waitForTarget();
    REQUIRE(first);
    ScriptedTarget &second = fixture.target(first == &fixture.target(0) ? 1 : 0);

    first->connection(0).socket.send(streamHead("a") + eventChunk(1));
    REQUIRE(fixture.runUntil([&] { return caller.has("id: 1\n"); }));
    first->connection(0).socket.abort();
    REQUIRE(fixture.runUntil([&] { return second.requests() == 1; }));
    second.connection(0).socket.send(
        "HTTP/1.1 500 Oops\r\nId: a\r\nSigned: yes\r\nContent-Length: 4\r\n\r\nfail");
    REQUIRE(fixture.runUntil([&] { return caller.end.has_value(); }));
    CHECK_FALSE(endsComplete(caller));
    CHECK_FALSE(caller.has("fail"));
    CHECK(fixture.log.count(GatewayEvent::RequestFailed) == 1);
}

TEST_CASE("a stream that is not resumable is aborted when its target fails")
{
    // The request has run and must not run again, so there is no retry. The caller's connection
    // ends without the last chunk.
    GatewayFixture fixture(2);
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("stream", "a"));
    ScriptedTarget *target = fixture.waitForTarget();
    REQUIRE(target);
    target->connection(0).socket.send(streamHead("a") + eventChunk(1));
    REQUIRE(fixture.runUntil([&] { return caller.has("id: 1\n"); }));
    target->connection(0).socket.abort();
    REQUIRE(fixture.runUntil([&] { return caller.end.has_value(); }));
    CHECK_FALSE(endsComplete(caller));
    CHECK(fixture.target(0).requests() + fixture.target(1).requests() == 1);
}

TEST_CASE("a stalled stream is resumed on another target")
{
    // The first target's connection stays open but sends nothing more. After the stall timeout
    // another target resumes the stream; its first event cancels the first attempt.
    GatewayFixture fixture(2);
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("resumable", "a"));
    ScriptedTarget *first = fixture.waitForTarget();
    REQUIRE(first);
    ScriptedTarget &second = fixture.target(first == &fixture.target(0) ? 1 : 0);
    first->connection(0).socket.send(streamHead("a") + eventChunk(1));
    REQUIRE(fixture.runUntil([&] { return caller.has("id: 1\n"); }));

    fixture.clock.advance(std::chrono::milliseconds(1300));
    REQUIRE(fixture.runUntil([&] { return second.requests() == 1; }));
    CHECK_FALSE(first->connection(0).end.has_value());
    second.connection(0).socket.send(streamHead("a") + eventChunk(2));
    CHECK(fixture.runUntil([&] { return first->connection(0).end.has_value(); }));
    second.connection(0).socket.send(std::string(LastChunk));
    CHECK(fixture.runUntil([&] { return endsComplete(caller); }));
}

TEST_CASE("a request is cancelled at its target when the caller disconnects")
{
    // The caller disconnects before the target has sent anything. The connection to the target is
    // closed at once, so that the target stops working on the request.
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("stream", "a"));
    ScriptedTarget *target = fixture.waitForTarget();
    REQUIRE(target);
    caller.socket.abort();
    CHECK(fixture.runUntil([&] { return target->connection(0).end.has_value(); }));
    CHECK(fixture.log.count(GatewayEvent::CallerGone) == 1);
}

TEST_CASE("a request at a target that has restarted fails at once")
{
    // Connections to the earlier instance of a target may stay open without traffic; without the
    // check the callers would wait for their deadline. The new instance is known from the target's
    // entry. A stream that must not run twice fails with 502; an idempotent request is sent to the
    // new instance.
    GatewayFixture fixture;
    RecordingConnection &once = fixture.connect();
    once.socket.send(GatewayFixture::request("stream", "a"));
    REQUIRE(fixture.waitForTarget());
    RecordingConnection &repeatable = fixture.connect();
    repeatable.socket.send(GatewayFixture::request("idempotent", "b"));
    ScriptedTarget *target = fixture.waitForTarget(2);
    REQUIRE(target);

    TargetEntry entry = fixture.gateway.targets().find(TargetId("t0"))->entry;
    entry.startedAt = fixture.clock.wallMilliseconds();
    fixture.gateway.putTarget(entry);
    CHECK(fixture.runUntil([&] { return once.has("HTTP/1.1 502"); }));
    REQUIRE(fixture.runUntil([&] { return target->requests() == 3; }));
    RecordingConnection &fresh = *target->connections.back();
    CHECK(fresh.has("Id: b\r\n"));
    fresh.socket.send(signedResponse("b", "whole"));
    CHECK(fixture.runUntil([&] { return repeatable.has("whole"); }));
    CHECK(fixture.gateway.targets().find(TargetId("t0"))->failuresInRow == 0);
}

TEST_CASE("a stream that was sent after its target's start goes on when that start becomes known")
{
    // Guards against streams that are ended because a late write named an earlier start.
    constexpr std::uint64_t Second = 1000;
    for (const bool isAddressChanged : {false, true}) {
        CAPTURE(isAddressChanged);
        GatewayFixture fixture;
        const std::uint64_t now = fixture.clock.wallMilliseconds();
        TargetEntry entry = fixture.gateway.targets().find(TargetId("t0"))->entry;
        entry.startedAt = now - 9 * Second;
        fixture.gateway.putTarget(entry);
        RecordingConnection &caller = fixture.connect();
        caller.socket.send(GatewayFixture::request("stream", "a"));
        ScriptedTarget *target = fixture.waitForTarget();
        REQUIRE(target);
        target->connection(0).socket.send(streamHead("a") + eventChunk(1));
        REQUIRE(fixture.runUntil([&] { return caller.has("id: 1\n"); }));

        entry.startedAt = now - 2 * Second;
        entry.address.port += isAddressChanged ? 1 : 0;
        fixture.gateway.putTarget(entry);
        fixture.runPendingEvents();
        // At another address the new process can't have the request.
        REQUIRE(target->connection(0).end.has_value() == isAddressChanged);
        target->connection(0).socket.send(eventChunk(2) + std::string(LastChunk));
        fixture.runPendingEvents();
        CHECK(endsComplete(caller) == !isAddressChanged);
    }
}
