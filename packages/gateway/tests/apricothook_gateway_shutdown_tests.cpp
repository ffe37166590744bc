#include <apricothook_gateway_fixture.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

constexpr std::chrono::milliseconds TimeLeft {7000};

RecordingConnection &send(GatewayFixture &fixture, const std::string &route, const std::string &id)
{
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request(route, id));
    return caller;
}

/** Lets the route have so many complete responses that took the given time. */
void answerRequests(GatewayFixture &fixture, std::chrono::milliseconds time)
{
    for (unsigned i = 0; i < LongestResponseTimes::FewestSamples; ++i) {
        const std::string id = "u" + std::to_string(i);
        RecordingConnection &caller = fixture.connect();
        caller.socket.send(GatewayFixture::request("once", id));
        ScriptedTarget &target = fixture.target(0);
        REQUIRE(fixture.runUntil([&] { return target.requests() == i + 1; }));
        fixture.clock.advance(time);
        target.connection(0).socket.send(signedResponse(id, "usual"));
        REQUIRE(fixture.runUntil([&] { return caller.has("usual"); }));
        caller.socket.close();
        fixture.runPendingEvents();
    }
}

void startDraining(GatewayFixture &fixture)
{
    fixture.gateway.startDraining(fixture.clock.now() + TimeLeft);
}

bool isRejected(GatewayFixture &fixture, const RecordingConnection &caller)
{
    fixture.runUntil([&] { return caller.end.has_value(); });
    return caller.received.starts_with("HTTP/1.1 503") && caller.has("Connection: close\r\n");
}

} // namespace

TEST_CASE("a stopping daemon doesn't begin a request that may outlast it")
{
    // Its response would be broken off when the process ends.
    GatewayFixture fixture;
    RecordingConnection &kept = fixture.connect();
    fixture.runPendingEvents();
    startDraining(fixture);
    kept.socket.send(GatewayFixture::request("stream", "a"));
    CHECK(isRejected(fixture, kept));
    CHECK(isRejected(fixture, send(fixture, "resumable", "b")));
    CHECK(fixture.target(0).requests() == 0);
    CHECK(fixture.log.count(GatewayEvent::RequestRefused) == 2);
}

TEST_CASE("a stopping daemon begins a request whose deadline comes before its end")
{
    GatewayFixture fixture;
    startDraining(fixture);
    RecordingConnection &caller = fixture.connect();
    caller.socket.send("GET /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\nPatience: 900\r\n\r\n");
    REQUIRE(fixture.waitForTarget());
    fixture.target(0).connection(0).socket.send(signedResponse("a", "last"));
    REQUIRE(fixture.runUntil([&] { return caller.end.has_value(); }));
    CHECK(caller.has("last"));
}

TEST_CASE("a stopping daemon begins a request of a route whose responses are done in time")
{
    // Rejecting it would cost its caller an attempt for nothing.
    GatewayFixture fixture;
    answerRequests(fixture, std::chrono::milliseconds(1000));
    const std::size_t before = fixture.target(0).requests();
    startDraining(fixture);
    RecordingConnection &caller = send(fixture, "once", "a");
    REQUIRE(fixture.runUntil(
        [&] { return fixture.target(0).requests() == before + 1 || caller.end.has_value(); }));
    CHECK_FALSE(caller.end);
    // Later the same takes too long.
    fixture.clock.advance(std::chrono::milliseconds(6000));
    CHECK(isRejected(fixture, send(fixture, "once", "b")));
}

TEST_CASE(
    "a request that waits for a target when its daemon is stopped hears at once that it won't run")
{
    GatewayFixture fixture;
    constexpr std::size_t MoreThanSlots = 6;
    for (std::size_t i = 0; i < MoreThanSlots; ++i) {
        send(fixture, "once", "a" + std::to_string(i));
        fixture.runPendingEvents();
    }
    const std::size_t begun = fixture.target(0).requests();
    REQUIRE(fixture.gateway.openRequests() > begun);
    startDraining(fixture);
    CHECK(fixture.gateway.openRequests() == begun);
    CHECK(isRejected(fixture, *fixture.callers.back()));
    CHECK(fixture.target(0).requests() == begun);
}

TEST_CASE("a stopping daemon doesn't send a request again that may outlast it")
{
    // No target has the request, as the first one has refused it.
    GatewayFixture fixture(2);
    RecordingConnection &caller = send(fixture, "once", "a");
    ScriptedTarget *first = fixture.waitForTarget();
    REQUIRE(first);
    startDraining(fixture);
    first->connection(0).socket.send("HTTP/1.1 503 Full\r\nId: a\r\nNot-Run: 1\r\n"
                                     "Content-Length: 0\r\n\r\n");
    CHECK(isRejected(fixture, caller));
    CHECK(fixture.target(0).requests() + fixture.target(1).requests() == 1);
}

TEST_CASE("a request at a target when its daemon is stopped goes on")
{
    GatewayFixture fixture;
    RecordingConnection &caller = send(fixture, "stream", "a");
    REQUIRE(fixture.waitForTarget());
    startDraining(fixture);
    fixture.runPendingEvents();
    fixture.target(0).connection(0).socket.send(streamHead("a") + eventChunk(1)
                                                + std::string(LastChunk));
    REQUIRE(fixture.runUntil([&] { return caller.end.has_value(); }));
    CHECK(endsComplete(caller));
}

TEST_CASE("a response that the end of the process breaks off is told in the log")
{
    GatewayFixture fixture;
    RecordingConnection &caller = send(fixture, "stream", "a");
    REQUIRE(fixture.waitForTarget());
    fixture.target(0).connection(0).socket.send(streamHead("a") + eventChunk(1));
    REQUIRE(fixture.runUntil([&] { return caller.has("id: 1"); }));
    startDraining(fixture);
    fixture.gateway.endUnansweredRequests();
    fixture.gateway.closeConnections();
    CHECK(fixture.runUntil([&] { return caller.end.has_value(); }));
    CHECK(fixture.log.count(GatewayEvent::RequestFailed) == 1);
    CHECK_FALSE(endsComplete(caller));
}
