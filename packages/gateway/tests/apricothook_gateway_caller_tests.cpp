#include <apricothook_gateway_fixture.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

/** The status of the first response; zero if there is none. */
int statusOf(const RecordingConnection &caller)
{
    constexpr std::size_t Start = 9;
    return caller.received.size() > Start ? std::stoi(caller.received.substr(Start, 3)) : 0;
}

void configure(GatewayFixture &fixture, const CallerBounds &limits)
{
    ServingConfiguration configuration = GatewayFixture::configuration();
    configuration.limits = limits;
    fixture.gateway.setConfiguration(std::make_shared<const RouteTable>(configuration));
}

CallerBounds idleFor(std::chrono::milliseconds time)
{
    CallerBounds limits = GatewayFixture::configuration().limits;
    limits.idleTimeout = time;
    return limits;
}

int answerTo(GatewayFixture &fixture, const std::string &bytes)
{
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(bytes);
    fixture.runUntil([&] { return caller.has("\r\n\r\n") || caller.end; });
    return statusOf(caller);
}

} // namespace

TEST_CASE("a request with ambiguous framing is rejected")
{
    // Guards against request smuggling: a proxy on the path that frames such a request differently
    // would treat the rest of its body as another request. Expected: 400, and nothing is forwarded.
    GatewayFixture fixture;
    const std::string start = "POST /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\n";
    const std::string smuggled = "GET /once/y HTTP/1.1\r\nHost: host\r\nId: b\r\n\r\n";
    CHECK(answerTo(fixture,
                   start + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                       + smuggled)
          == 400);
    CHECK(answerTo(fixture, start + "Transfer-Encoding: xchunked\r\n\r\n" + smuggled) == 400);
    CHECK(answerTo(fixture, start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + smuggled)
          == 400);
    CHECK(answerTo(fixture, start + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd" + smuggled)
          == 400);
    CHECK(answerTo(fixture, start + "Content-Length: -1\r\n\r\n" + smuggled) == 400);
    CHECK(answerTo(fixture, start + "Host: other\r\n\r\n" + smuggled) == 400);
    CHECK(answerTo(fixture, "nonsense\r\n\r\n" + smuggled) == 400);
    fixture.runPendingEvents();
    CHECK(fixture.target(0).requests() == 0);
}

TEST_CASE("oversized and invalid requests are rejected")
{
    GatewayFixture fixture;
    CHECK(answerTo(fixture, GatewayFixture::request("once", "a", std::string(3000, 'x'))) == 413);
    CHECK(answerTo(fixture,
                   "GET /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\nLong: " + std::string(2000, 'x')
                       + "\r\n\r\n")
          == 431);
    CHECK(answerTo(fixture, GatewayFixture::request("nowhere", "a")) == 404);
    CHECK(answerTo(fixture, "GET /once/x HTTP/1.1\r\nHost: host\r\n\r\n") == 400);
    CHECK(fixture.target(0).requests() == 0);
}

TEST_CASE("a caller that sends its head too slowly is disconnected")
{
    // Otherwise slow callers could exhaust the daemon's descriptors. Expected: 408 after the head
    // timeout, then the connection is closed.
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send("GET /once/x HTTP/1.1\r\nHost: ho");
    fixture.runPendingEvents();
    fixture.clock.advance(std::chrono::milliseconds(3100));
    REQUIRE(fixture.runUntil([&] { return caller.has("\r\n\r\n"); }));
    CHECK(statusOf(caller) == 408);
    CHECK(fixture.runUntil([&] { return caller.end.has_value(); }));
}

TEST_CASE("an incomplete request is not forwarded")
{
    // The caller disconnects after half of the body; the request must not run.
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(
        "POST /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf");
    fixture.runPendingEvents();
    caller.socket.close();
    CHECK(fixture.runUntil([&] { return fixture.gateway.callerConnections() == 0; }));
    fixture.runPendingEvents();
    CHECK(fixture.target(0).requests() == 0);
}

TEST_CASE("an idle connection is closed after the idle timeout and not before")
{
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    fixture.runPendingEvents();
    fixture.clock.advance(std::chrono::seconds(14));
    fixture.runPendingEvents();
    CHECK_FALSE(caller.end);
    fixture.clock.advance(std::chrono::seconds(2));
    CHECK(fixture.runUntil([&] { return caller.end.has_value(); }));
}

TEST_CASE("a request that arrives while its connection is being closed is not forwarded")
{
    // The caller's request and the daemon's close cross on the wire. The caller gets no response
    // and may retry elsewhere, so the request must not run here.
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    fixture.runPendingEvents();
    fixture.gateway.stopListening();
    caller.socket.send(GatewayFixture::request("once", "a"));
    CHECK(fixture.runUntil([&] { return caller.end.has_value(); }));
    fixture.runPendingEvents();
    CHECK(fixture.target(0).requests() == 0);
}

TEST_CASE("a caller that continues sending after a rejection receives the rejection")
{
    // The caller sends a body that is too large and reads the response only afterwards. Closing
    // with unread bytes would reset the connection and discard the response.
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("once", "a", std::string(3000, 'x')));
    for (int i = 0; i < 20; ++i) {
        fixture.loop.runOnce(std::chrono::milliseconds(1));
        caller.socket.send(std::string(3000, 'x'));
    }
    REQUIRE(fixture.runUntil([&] { return caller.end.has_value(); }));
    CHECK(*caller.end == CloseReason::PeerClosed);
    CHECK(statusOf(caller) == 413);
}

TEST_CASE("a chunked body is forwarded completely")
{
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(
        "POST /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2;note=1\r\nde\r\n0\r\n\r\n");
    REQUIRE(fixture.waitForTarget());
    CHECK(fixture.target(0).connection(0).has("Content-Length: 5\r\n"));
    CHECK(fixture.target(0).connection(0).received.ends_with("abcde"));
}

TEST_CASE("hop-by-hop headers are not forwarded")
{
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(
        "GET /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\nConnection: Secret\r\nSecret: 1\r\n"
        "TE: trailers\r\nUpgrade: h2c\r\nKept: yes\r\n\r\n");
    REQUIRE(fixture.waitForTarget());
    const RecordingConnection &run = fixture.target(0).connection(0);
    CHECK(run.has("Kept: yes\r\n"));
    CHECK_FALSE(run.has("Secret"));
    CHECK_FALSE(run.has("Upgrade"));
    CHECK_FALSE(run.has("TE:"));
}

TEST_CASE("a daemon that shuts down closes each connection after its response")
{
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("once", "a"));
    REQUIRE(fixture.waitForTarget());
    fixture.gateway.startDraining();
    fixture.target(0).connection(0).socket.send(signedResponse("a", "last"));
    REQUIRE(fixture.runUntil([&] { return caller.end.has_value(); }));
    CHECK(*caller.end == CloseReason::PeerClosed);
    CHECK(caller.has("Connection: close\r\n"));
    CHECK(caller.has("last"));
}

TEST_CASE("the upload time of a slow body is deducted from the timeout for the target")
{
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send("POST /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\nPatience: 900\r\n"
                       "Content-Length: 4\r\n\r\nab");
    fixture.runPendingEvents();
    fixture.clock.advance(std::chrono::milliseconds(600));
    caller.socket.send("cd");
    ScriptedTarget *target = fixture.waitForTarget();
    REQUIRE(target);
    CHECK(target->connection(0).has("Patience: 300\r\n"));
}

TEST_CASE("a request that times out before its body is complete is rejected as not run")
{
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send("POST /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\nPatience: 500\r\n"
                       "Content-Length: 4\r\n\r\nab");
    fixture.runPendingEvents();
    fixture.clock.advance(std::chrono::milliseconds(600));
    caller.socket.send("cd");
    fixture.runUntil([&] { return caller.has("\r\n\r\n"); });
    CHECK(statusOf(caller) == 503);
    CHECK(fixture.target(0).requests() == 0);
}

TEST_CASE("the idle time of a connection is not deducted from the timeout of its next request")
{
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    fixture.runPendingEvents();
    fixture.clock.advance(std::chrono::milliseconds(600));
    caller.socket.send("GET /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\nPatience: 900\r\n\r\n");
    ScriptedTarget *target = fixture.waitForTarget();
    REQUIRE(target);
    CHECK(target->connection(0).has("Patience: 900\r\n"));
}

TEST_CASE("a request on a kept connection is judged by the size limits in force when it begins")
{
    // A request that a new configuration allows would be rejected with 413 or 431.
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    fixture.runPendingEvents();
    CallerBounds raised = GatewayFixture::configuration().limits;
    raised.bodyBytes = 5000;
    raised.headBytes = 4000;
    configure(fixture, raised);
    caller.socket.send("POST /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\nLong: "
                       + std::string(2000, 'x') + "\r\nContent-Length: 3000\r\n\r\n"
                       + std::string(3000, 'x'));
    REQUIRE(fixture.runUntil(
        [&] { return fixture.target(0).requests() == 1 || caller.has("\r\n\r\n"); }));
    CHECK(fixture.target(0).requests() == 1);
}

TEST_CASE("a request that has begun keeps its size limits when a configuration lowers them")
{
    // The caller sends its body by the limits that it knew when it began.
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send("POST /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"
                       + writeChunk(std::string(900, 'x')));
    fixture.runPendingEvents();
    CallerBounds lowered = GatewayFixture::configuration().limits;
    lowered.bodyBytes = 1000;
    configure(fixture, lowered);
    caller.socket.send(writeChunk(std::string(900, 'x')) + std::string(LastChunk));
    REQUIRE(fixture.runUntil(
        [&] { return fixture.target(0).requests() == 1 || caller.has("\r\n\r\n"); }));
    CHECK(fixture.target(0).requests() == 1);
}

TEST_CASE("an idle connection is kept for the idle timeout that was raised meanwhile")
{
    // Callers that know the new timeout still send requests on the connection.
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    fixture.runPendingEvents();
    configure(fixture, idleFor(std::chrono::seconds(30)));
    fixture.clock.advance(std::chrono::seconds(24));
    fixture.runPendingEvents();
    CHECK_FALSE(caller.end);
    fixture.clock.advance(std::chrono::seconds(7));
    CHECK(fixture.runUntil([&] { return caller.end.has_value(); }));
}

TEST_CASE("an idle connection is kept for the idle timeout before a configuration lowered it")
{
    // Callers may not know the new timeout yet.
    GatewayFixture fixture;
    RecordingConnection &before = fixture.connect();
    fixture.runPendingEvents();
    configure(fixture, idleFor(std::chrono::seconds(1)));
    RecordingConnection &after = fixture.connect();
    fixture.runPendingEvents();
    fixture.clock.advance(fixture.bounds.applyTimeout - std::chrono::milliseconds(100));
    fixture.runPendingEvents();
    CHECK_FALSE(before.end);
    CHECK_FALSE(after.end);
    fixture.clock.advance(std::chrono::seconds(2));
    fixture.runPendingEvents();
    CHECK_FALSE(before.end);
    fixture.clock.advance(std::chrono::seconds(14));
    CHECK(fixture.runUntil([&] { return before.end && after.end; }));
}

TEST_CASE("a slow head is judged by the timeout that was raised meanwhile")
{
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send("GET /once/x HTTP/1.1\r\nHost: ho");
    fixture.runPendingEvents();
    CallerBounds raised = GatewayFixture::configuration().limits;
    raised.headTimeout = std::chrono::seconds(6);
    configure(fixture, raised);
    fixture.clock.advance(std::chrono::seconds(4));
    fixture.runPendingEvents();
    caller.socket.send("st\r\nId: a\r\n\r\n");
    REQUIRE(fixture.runUntil(
        [&] { return fixture.target(0).requests() == 1 || caller.has("\r\n\r\n"); }));
    CHECK(fixture.target(0).requests() == 1);
}

TEST_CASE("a request that arrives just before its connection expires is answered")
{
    // Closing with unread bytes would reset the connection, and the caller would hear nothing.
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    fixture.runPendingEvents();
    fixture.clock.advance(std::chrono::milliseconds(14995));
    fixture.runPendingEvents();
    caller.socket.send(GatewayFixture::request("once", "a"));
    fixture.clock.advance(std::chrono::milliseconds(8));
    REQUIRE(fixture.runUntil([&] { return fixture.target(0).requests() == 1 || caller.end; }));
    CHECK_FALSE(caller.end);
    CHECK(fixture.target(0).requests() == 1);
}

TEST_CASE("a request that arrives just before a leaving daemon closes is rejected as not run")
{
    // The caller of a reset connection wouldn't know whether its request ran.
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    RecordingConnection &idle = fixture.connect();
    fixture.runPendingEvents();
    fixture.loop.after(Duration::zero(), [&] {
        fixture.gateway.startDraining();
        fixture.gateway.refuseNewRequests();
        fixture.gateway.stopListening();
    });
    caller.socket.send(GatewayFixture::request("once", "a"));
    REQUIRE(fixture.runUntil([&] { return caller.end && idle.end; }));
    CHECK(*caller.end == CloseReason::PeerClosed);
    CHECK(statusOf(caller) == 503);
    CHECK(fixture.target(0).requests() == 0);
}

TEST_CASE("a daemon whose time is over answers all requests that have no response")
{
    // Their callers would only see a closed connection, and couldn't tell whether they ran.
    GatewayFixture fixture;
    RecordingConnection &stream = fixture.connect();
    stream.socket.send(GatewayFixture::request("stream", "s"));
    REQUIRE(fixture.waitForTarget(1));
    fixture.target(0).connection(0).socket.send(streamHead("s") + eventChunk(1));
    REQUIRE(fixture.runUntil([&] { return stream.has("id: 1"); }));
    RecordingConnection &sent = fixture.connect();
    sent.socket.send(GatewayFixture::request("once", "a"));
    REQUIRE(fixture.waitForTarget(2));
    RecordingConnection &waiting = fixture.connect();
    waiting.socket.send(GatewayFixture::request("once", "b"));
    REQUIRE(fixture.runUntil([&] { return fixture.gateway.openRequests() == 3; }));
    fixture.gateway.startDraining();
    fixture.gateway.endUnansweredRequests();
    fixture.runPendingEvents();
    CHECK(statusOf(waiting) == 503);
    CHECK(statusOf(sent) == 502);
    CHECK_FALSE(stream.end);
    CHECK(fixture.gateway.openRequests() == 1);
    CHECK(fixture.target(0).requests() == 2);
}
