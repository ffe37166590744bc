#include <apricothook_gateway_fixture.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

constexpr std::size_t LongBody = 200'000;

void allowLongBodies(GatewayFixture &fixture)
{
    ServingConfiguration configuration = GatewayFixture::configuration();
    configuration.limits.bodyBytes = 2 * LongBody;
    fixture.gateway.setConfiguration(std::make_shared<const RouteTable>(configuration));
}

CallerResources roomFor(std::size_t largeBytes, std::size_t connections = 100)
{
    return {.heldBytes = 2 * largeBytes, .largeBytes = largeBytes, .connections = connections};
}

std::string uploadHead(const std::string &id, std::size_t bytes)
{
    return "POST /once/x HTTP/1.1\r\nHost: host\r\nId: " + id
        + "\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

} // namespace

TEST_CASE("a long body that there is no room for is refused by its head, as not run")
{
    // Guards against bodies that are kept whatever the process holds already.
    GatewayFixture fixture(1, roomFor(200'000));
    allowLongBodies(fixture);
    RecordingConnection &first = fixture.connect();
    first.socket.send(uploadHead("a", LongBody) + std::string(LongBody - 1, 'x'));
    fixture.runPendingEvents();
    RecordingConnection &second = fixture.connect();
    second.socket.send(uploadHead("b", LongBody));
    REQUIRE(fixture.runUntil([&] { return second.has("\r\n\r\n"); }));
    CHECK(second.has("HTTP/1.1 503"));
    CHECK(second.has("Connection: close"));
    first.socket.send("x");
    REQUIRE(fixture.waitForTarget());
    CHECK(fixture.target(0).requests() == 1);
    CHECK(fixture.log.count(GatewayEvent::CallerLimited) == 1);
    CHECK(fixture.log.count(GatewayEvent::RequestRefused) == 1);
}

TEST_CASE("a body that has stopped makes room for another one")
{
    // Guards against callers that stop just before the end and keep all others out.
    GatewayFixture fixture(1, roomFor(200'000));
    allowLongBodies(fixture);
    RecordingConnection &stopped = fixture.connect();
    stopped.socket.send(uploadHead("a", LongBody) + std::string(LongBody - 1, 'x'));
    fixture.runPendingEvents();
    fixture.clock.advance(std::chrono::milliseconds(1100));
    RecordingConnection &other = fixture.connect();
    other.socket.send(uploadHead("b", LongBody) + std::string(LongBody, 'x'));
    REQUIRE(fixture.waitForTarget());
    CHECK(stopped.has("HTTP/1.1 503"));
    CHECK_FALSE(other.has("503"));
}

TEST_CASE("a body isn't received for longer than its request may take")
{
    // Guards against callers that send a byte now and then and are never done.
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(uploadHead("a", 1000));
    for (int second = 0; second < 11 && !caller.has("\r\n\r\n"); ++second) {
        fixture.clock.advance(std::chrono::seconds(1));
        caller.socket.send("x");
        fixture.runPendingEvents();
    }
    CHECK(caller.has("HTTP/1.1 408"));
    CHECK(fixture.target(0).requests() == 0);
}

TEST_CASE("a request that no body could help is answered before its body is kept")
{
    // Guards against memory for callers that aren't known or that name no route.
    GatewayFixture fixture;
    allowLongBodies(fixture);
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(
        "POST /nowhere/x HTTP/1.1\r\nHost: host\r\nId: a\r\nContent-Length: 200000\r\n\r\n");
    REQUIRE(fixture.runUntil([&] { return caller.has("\r\n\r\n"); }));
    CHECK(caller.has("HTTP/1.1 404"));
}

TEST_CASE("a caller that reads no responses gets no further requests served")
{
    // Guards against responses that pile up while their caller goes on to send requests.
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.setReading(false);
    for (int round = 0; round < 200; ++round) {
        for (int i = 0; i < 100; ++i)
            caller.socket.send(GatewayFixture::request("nowhere", "a"));
        fixture.loop.runOnce(std::chrono::milliseconds(1));
    }
    fixture.runPendingEvents();
    CHECK(fixture.gateway.callerMemory().held(HeldFor::Response) < 500'000);
    CHECK(fixture.gateway.callerMemory().held(HeldFor::Input) < 500'000);
    // What it left unread is still answered, in order and completely.
    caller.socket.setReading(true);
    REQUIRE(fixture.runUntil([&] { return caller.socket.unsentBytes() == 0; }));
    fixture.runPendingEvents();
    CHECK(caller.has("HTTP/1.1 404"));
}

TEST_CASE("with all connections in use the longest idle one makes room for a new one")
{
    // Guards against callers that keep connections and leave no descriptor for others.
    GatewayFixture fixture(1, roomFor(200'000, 3));
    RecordingConnection &idle = fixture.connect();
    fixture.runPendingEvents();
    fixture.clock.advance(std::chrono::milliseconds(100));
    RecordingConnection &busy = fixture.connect();
    busy.socket.send(GatewayFixture::request("once", "busy"));
    REQUIRE(fixture.waitForTarget());
    RecordingConnection &later = fixture.connect();
    fixture.runPendingEvents();
    RecordingConnection &added = fixture.connect();
    CHECK(fixture.runUntil([&] { return idle.end.has_value(); }));
    fixture.runPendingEvents();
    CHECK_FALSE(busy.end);
    CHECK_FALSE(later.end);
    CHECK_FALSE(added.end);
    CHECK(fixture.gateway.callerConnections() == 3);
}

TEST_CASE("a new connection is refused as not run while all others are being served")
{
    // Guards against connections that wait unseen until their callers give up.
    GatewayFixture fixture(1, roomFor(200'000, 2));
    for (const char *route : {"once", "idempotent"})
        fixture.connect().socket.send(GatewayFixture::request(route, route));
    REQUIRE(fixture.waitForTarget(2));
    RecordingConnection &added = fixture.connect();
    CHECK(fixture.runUntil([&] { return added.has("\r\n\r\n"); }));
    CHECK(added.has("HTTP/1.1 503"));
    CHECK(fixture.gateway.callerConnections() == 2);
}

TEST_CASE("a long body reaches its target unchanged though the target reads slowly")
{
    // Guards against bytes that are lost or doubled where a body is sent without a copy.
    GatewayFixture fixture;
    allowLongBodies(fixture);
    RecordingConnection &caller = fixture.connect();
    std::string body;
    while (body.size() < LongBody)
        body += std::to_string(body.size()) + ' ';
    body.resize(LongBody);
    caller.socket.send(uploadHead("a", LongBody) + body);
    REQUIRE(fixture.waitForTarget());
    CHECK(fixture.target(0).connection(0).received.ends_with(body));
    fixture.target(0).connection(0).socket.send(signedResponse("a", "done"));
    CHECK(fixture.runUntil([&] { return caller.has("done"); }));
    CHECK(fixture.gateway.callerMemory().held(HeldFor::Request) == 0);
}
