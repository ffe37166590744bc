#include <apricothook_gateway_fixture.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

constexpr std::size_t Piece = 1 << 14;
constexpr int Pieces = 128;

/** Sends pieces until the daemon closes the connection; returns their number. */
int sendUntilClosed(GatewayFixture &fixture, RecordingConnection &target, const std::string &piece)
{
    for (int sent = 0; sent < Pieces; ++sent) {
        if (target.end)
            return sent;
        target.socket.send(piece);
        fixture.runPendingEvents();
    }
    return Pieces;
}

std::string notRunHead(const std::string &id)
{
    return "HTTP/1.1 503 Full\r\nId: " + id
        + "\r\nNot-Run: 1\r\nContent-Length: 1000000000\r\n\r\n";
}

} // namespace

TEST_CASE("an event without end fails its attempt at a bound")
{
    // Guards against targets that fill the daemon's memory with an event that never ends.
    for (const std::string framing : {"Transfer-Encoding: chunked\r\n\r\n40000000\r\n", "\r\n"}) {
        CAPTURE(framing);
        GatewayFixture fixture;
        RecordingConnection &caller = fixture.connect();
        caller.socket.send(GatewayFixture::request("stream", "a"));
        ScriptedTarget *target = fixture.waitForTarget();
        REQUIRE(target);
        RecordingConnection &connection = target->connection(0);
        connection.socket.send("HTTP/1.1 200 OK\r\nId: a\r\nSigned: yes\r\n" + framing + "data: ");
        CHECK(sendUntilClosed(fixture, connection, std::string(Piece, 'x')) < Pieces / 2);
        CHECK(caller.has("HTTP/1.1 502 "));
    }
}

TEST_CASE("a request that wasn't run doesn't wait for the end of a response that says so")
{
    // Guards against a refusal without end that holds its caller until the deadline.
    GatewayFixture fixture(2);
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("once", "a"));
    ScriptedTarget *first = fixture.waitForTarget();
    REQUIRE(first);
    first->connection(0).socket.send(notRunHead("a") + "why");
    fixture.runPendingEvents();
    fixture.clock.advance(std::chrono::milliseconds(50));
    ScriptedTarget &second = fixture.target(first == &fixture.target(0) ? 1 : 0);
    REQUIRE(fixture.runUntil([&] { return second.requests() == 1; }));
    second.connection(0).socket.send(signedResponse("a", "fine"));
    CHECK(fixture.runUntil([&] { return caller.has("fine"); }));
    CHECK(first->connection(0).end);
}

TEST_CASE("a response to another request is discarded up to a bound")
{
    // Guards against a target that never comes to the response that is awaited.
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("once", "a"));
    ScriptedTarget *target = fixture.waitForTarget();
    REQUIRE(target);
    RecordingConnection &connection = target->connection(0);
    connection.socket.send("HTTP/1.1 200 OK\r\nId: other\r\nSigned: yes\r\n\r\n");
    CHECK(sendUntilClosed(fixture, connection, std::string(Piece, 'x')) < Pieces / 2);
    CHECK(caller.has("HTTP/1.1 502 "));
}

TEST_CASE("a stream without a length that ends before its first event isn't complete")
{
    // Guards against a crashed target whose closed connection looks like an empty stream.
    GatewayFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("stream", "a"));
    ScriptedTarget *target = fixture.waitForTarget();
    REQUIRE(target);
    target->connection(0).socket.send("HTTP/1.1 200 OK\r\nId: a\r\nSigned: yes\r\n\r\n");
    fixture.runPendingEvents();
    target->connection(0).socket.shutdownSend();
    REQUIRE(fixture.runUntil([&] { return caller.has("\r\n\r\n"); }));
    CHECK(caller.has("HTTP/1.1 502 "));
}

TEST_CASE("a stream without a length goes on elsewhere if it ends inside an event")
{
    GatewayFixture fixture(2);
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("resumable", "a"));
    ScriptedTarget *first = fixture.waitForTarget();
    REQUIRE(first);
    first->connection(0).socket.send(
        "HTTP/1.1 200 OK\r\nId: a\r\nSigned: yes\r\n\r\nid: 1\ndata: token\n\nid: 2\nda");
    REQUIRE(fixture.runUntil([&] { return caller.has("id: 1\n"); }));
    first->connection(0).socket.shutdownSend();
    ScriptedTarget &second = fixture.target(first == &fixture.target(0) ? 1 : 0);
    REQUIRE(fixture.runUntil([&] { return second.requests() == 1; }));
    CHECK(second.connection(0).has("Last: 1\r\n"));
    second.connection(0).socket.send(streamHead("a") + eventChunk(2) + std::string(LastChunk));
    REQUIRE(fixture.runUntil([&] { return caller.has("id: 2\n"); }));
    fixture.runPendingEvents();
    CHECK(endsComplete(caller));
}
