#include <apricothook_gateway_fixture.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace Apricothook;

namespace {

/** Longer than a target may be silent before another one is tried. */
constexpr std::chrono::seconds Silence {2};

std::ptrdiff_t occurrences(const RecordingConnection &caller, const std::string &text)
{
    std::ptrdiff_t count = 0;
    for (std::size_t at = caller.received.find(text); at != std::string::npos;
         at = caller.received.find(text, at + 1))
        ++count;
    return count;
}

/** A request at the first of its targets; the others have not been tried. */
struct SentRequest
{
    /** Sends a request of the route, and the first bytes of its response. */
    SentRequest(GatewayFixture &fixture, const std::string &route, const std::string &response = {})
        : caller(fixture.connect())
    {
        caller.socket.send(GatewayFixture::request(route, "a"));
        first = fixture.waitForTarget();
        REQUIRE(first);
        if (response.empty())
            return;
        first->connection(0).socket.send(response);
        REQUIRE(fixture.runUntil([&] { return caller.has("id: 1\n"); }));
    }

    ScriptedTarget &other(GatewayFixture &fixture) const
    {
        return fixture.target(first == &fixture.target(0) ? 1 : 0);
    }

    RecordingConnection &caller;
    ScriptedTarget *first = nullptr;
};

void fallSilent(GatewayFixture &fixture)
{
    fixture.clock.advance(Silence);
    fixture.runPendingEvents();
}

} // namespace

TEST_CASE("a stream goes on at its target after a silence if no other target can take it")
{
    // Guards against answers of sound targets that are cut because no replacement is found.
    GatewayFixture fixture(1);
    const SentRequest request(fixture, "resumable", streamHead("a") + eventChunk(1));
    for (int pause = 0; pause < 3; ++pause)
        fallSilent(fixture);
    CHECK_FALSE(request.caller.end.has_value());
    request.first->connection(0).socket.send(eventChunk(2) + std::string(LastChunk));
    CHECK(fixture.runUntil([&] { return endsComplete(request.caller); }));
    CHECK(request.caller.has("id: 2\n"));
}

TEST_CASE("a request is answered by its target after a silence if no other target can take it")
{
    // Guards against 502 for requests whose sound target answers late.
    for (const std::string &route : {std::string("idempotent"), std::string("resumable")}) {
        GatewayFixture fixture(1);
        const SentRequest request(fixture, route);
        fallSilent(fixture);
        fallSilent(fixture);
        const bool isStream = route == "resumable";
        RecordingConnection &target = request.first->connection(0);
        target.socket.send(isStream ? streamHead("a") + eventChunk(1) + std::string(LastChunk)
                                    : signedResponse("a", "tile"));
        REQUIRE(fixture.runUntil([&] { return request.caller.has("\r\n\r\n"); }));
        CHECK(request.caller.has("HTTP/1.1 200 "));
        CHECK(fixture.runUntil([&] { return request.caller.has(isStream ? "id: 1\n" : "tile"); }));
    }
}

TEST_CASE("a silent target is given up only once the other one has answered")
{
    // Guards against streams that are cut because the target that takes them over is silent too.
    GatewayFixture fixture(2);
    const SentRequest request(fixture, "resumable", streamHead("a") + eventChunk(1));
    ScriptedTarget &second = request.other(fixture);
    fallSilent(fixture);
    REQUIRE(fixture.runUntil([&] { return second.requests() == 1; }));
    fallSilent(fixture);
    CHECK_FALSE(request.first->connection(0).end.has_value());
    CHECK_FALSE(second.connection(0).end.has_value());
    second.connection(0).socket.send(streamHead("a") + eventChunk(2));
    REQUIRE(fixture.runUntil([&] { return request.caller.has("id: 2\n"); }));
    CHECK(fixture.runUntil([&] { return request.first->connection(0).end.has_value(); }));
    second.connection(0).socket.send(eventChunk(3) + std::string(LastChunk));
    CHECK(fixture.runUntil([&] { return endsComplete(request.caller); }));
}

TEST_CASE("a silent target that goes on first keeps its stream")
{
    // Guards against events of two runs in one stream, and against a run that nobody needs.
    GatewayFixture fixture(2);
    const SentRequest request(fixture, "resumable", streamHead("a") + eventChunk(1));
    ScriptedTarget &second = request.other(fixture);
    fallSilent(fixture);
    REQUIRE(fixture.runUntil([&] { return second.requests() == 1; }));
    request.first->connection(0).socket.send(eventChunk(2));
    REQUIRE(fixture.runUntil([&] { return request.caller.has("id: 2\n"); }));
    CHECK(fixture.runUntil([&] { return second.connection(0).end.has_value(); }));
    request.first->connection(0).socket.send(eventChunk(3) + std::string(LastChunk));
    CHECK(fixture.runUntil([&] { return endsComplete(request.caller); }));
    CHECK(occurrences(request.caller, "id: 2\n") == 1);
}

TEST_CASE("a stream goes on at its silent target if the other one refuses or drops it")
{
    // Guards against streams that are cut because their replacement fails.
    for (const std::string &answer :
         {std::string("HTTP/1.1 503 Full\r\nNot-Run: yes\r\nContent-Length: 0\r\n\r\n"),
          std::string("HTTP/1.1 500 Failed\r\nSigned: yes\r\nContent-Length: 0\r\n\r\n"),
          std::string()}) {
        GatewayFixture fixture(2);
        const SentRequest request(fixture, "resumable", streamHead("a") + eventChunk(1));
        ScriptedTarget &second = request.other(fixture);
        fallSilent(fixture);
        REQUIRE(fixture.runUntil([&] { return second.requests() == 1; }));
        if (answer.empty())
            second.connection(0).socket.abort();
        else
            second.connection(0).socket.send(answer);
        fixture.runPendingEvents();
        CHECK_FALSE(request.caller.end.has_value());
        request.first->connection(0).socket.send(eventChunk(2) + std::string(LastChunk));
        CHECK(fixture.runUntil([&] { return endsComplete(request.caller); }));
    }
}

TEST_CASE("the target that takes a stream over keeps it if the silent one breaks off")
{
    // Guards against a third attempt, or none, once the first of two has failed.
    GatewayFixture fixture(2);
    const SentRequest request(fixture, "resumable", streamHead("a") + eventChunk(1));
    ScriptedTarget &second = request.other(fixture);
    fallSilent(fixture);
    REQUIRE(fixture.runUntil([&] { return second.requests() == 1; }));
    request.first->connection(0).socket.abort();
    fixture.runPendingEvents();
    CHECK_FALSE(request.caller.end.has_value());
    second.connection(0).socket.send(streamHead("a") + eventChunk(2) + std::string(LastChunk));
    CHECK(fixture.runUntil([&] { return endsComplete(request.caller); }));
}

TEST_CASE("a caller that leaves ends both runs of its request")
{
    // Guards against targets that go on working for a caller that has gone.
    GatewayFixture fixture(2);
    const SentRequest request(fixture, "resumable", streamHead("a") + eventChunk(1));
    ScriptedTarget &second = request.other(fixture);
    fallSilent(fixture);
    REQUIRE(fixture.runUntil([&] { return second.requests() == 1; }));
    request.caller.socket.abort();
    CHECK(fixture.runUntil([&] {
        return request.first->connection(0).end.has_value() && second.connection(0).end.has_value();
    }));
}

TEST_CASE("a request that no second target answers ends at its deadline with both runs")
{
    // Guards against runs that outlive their request.
    GatewayFixture fixture(2);
    const SentRequest request(fixture, "idempotent");
    ScriptedTarget &second = request.other(fixture);
    fallSilent(fixture);
    REQUIRE(fixture.runUntil([&] { return second.requests() == 1; }));
    fixture.clock.advance(std::chrono::seconds(10));
    REQUIRE(fixture.runUntil([&] { return request.caller.has("\r\n\r\n"); }));
    CHECK(request.caller.has("HTTP/1.1 504 "));
    CHECK(fixture.runUntil([&] {
        return request.first->connection(0).end.has_value() && second.connection(0).end.has_value();
    }));
}

TEST_CASE("a body of which a part was forwarded waits for its silent target")
{
    // Guards against long answers that are cut, as no other run can go on with them.
    GatewayFixture fixture(2);
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("idempotent", "a"));
    ScriptedTarget *first = fixture.waitForTarget();
    REQUIRE(first);
    constexpr std::size_t Part = (1 << 20) + 1000;
    first->connection(0).socket.send("HTTP/1.1 200 OK\r\nId: a\r\nSigned: yes\r\nContent-Length: "
                                     + std::to_string(Part + 4) + "\r\n\r\n"
                                     + std::string(Part, 'x'));
    REQUIRE(fixture.runUntil([&] { return caller.received.size() > Part / 2; }));
    fallSilent(fixture);
    fallSilent(fixture);
    CHECK_FALSE(caller.end.has_value());
    first->connection(0).socket.send("last");
    CHECK(fixture.runUntil([&] { return caller.has("last"); }));
    CHECK(fixture.target(0).requests() + fixture.target(1).requests() == 1);
}

TEST_CASE("a stream whose caller doesn't read isn't taken for silent")
{
    // Guards against a second run of streams that only their caller holds up.
    GatewayFixture fixture(2);
    const SentRequest request(fixture, "resumable", streamHead("a") + eventChunk(1));
    request.caller.socket.setReading(false);
    const std::string block(1 << 16, 'x');
    RecordingConnection &target = request.first->connection(0);
    for (unsigned id = 2; id < 200; ++id)
        target.socket.send(writeChunk("id: " + std::to_string(id) + "\ndata: " + block + "\n\n"));
    fixture.runPendingEvents();
    REQUIRE(target.socket.unsentBytes() > 0);
    fallSilent(fixture);
    CHECK(request.other(fixture).requests() == 0);
    CHECK_FALSE(target.end.has_value());
}

TEST_CASE("a response whose bytes arrive slowly isn't taken for silent")
{
    // Guards against second runs, and accusations, of targets that are sending their response.
    GatewayFixture fixture(2);
    const SentRequest request(fixture, "idempotent");
    RecordingConnection &target = request.first->connection(0);
    target.socket.send("HTTP/1.1 200 OK\r\nId: a\r\nSigned: yes\r\nContent-Length: 100\r\n\r\n");
    fixture.runPendingEvents();
    for (int part = 0; part < 8; ++part) {
        fixture.clock.advance(std::chrono::milliseconds(300));
        target.socket.send("x");
        fixture.runPendingEvents();
    }
    CHECK(fixture.log.count(GatewayEvent::TargetSilent) == 0);
    CHECK(request.other(fixture).requests() == 0);
}

TEST_CASE("backups that find no connection take one retry of the budget")
{
    // Guards against a retry budget used up by attempts that no target received.
    GatewayFixture fixture(3);
    const SentRequest request(fixture, "idempotent");
    for (std::size_t index = 0; index < 3; ++index) {
        if (&fixture.target(index) != request.first)
            fixture.target(index).stopListening();
    }
    fallSilent(fixture);
    fixture.runPendingEvents();
    fixture.clock.advance(std::chrono::milliseconds(300));
    fixture.runPendingEvents();
    fixture.clock.advance(std::chrono::milliseconds(300));
    fixture.runPendingEvents();
    CHECK(fixture.log.count(GatewayEvent::RetryGranted) <= 1);
}

TEST_CASE("a target whose bytes wait to be read isn't taken for silent")
{
    // Guards against second runs of all streams of a daemon that was held up itself.
    GatewayFixture fixture(2);
    const SentRequest request(fixture, "resumable", streamHead("a") + eventChunk(1));
    request.first->connection(0).socket.send(eventChunk(2));
    fallSilent(fixture);
    CHECK(request.caller.has("id: 2\n"));
    CHECK(fixture.log.count(GatewayEvent::TargetSilent) == 0);
    CHECK(request.other(fixture).requests() == 0);
}

TEST_CASE("a target that hangs for good is avoided for longer each time")
{
    // Guards against a target that answers nothing and yet gets a request every half second.
    GatewayFixture fixture(2);
    std::size_t atHung = 0;
    ScriptedTarget *hung = nullptr;
    for (int round = 0; round < 20; ++round) {
        const std::string id = "r" + std::to_string(round);
        RecordingConnection &caller = fixture.connect();
        const std::size_t before[] = {fixture.target(0).requests(), fixture.target(1).requests()};
        caller.socket.send(GatewayFixture::request("idempotent", id));
        const auto received
            = [&](std::size_t index) { return fixture.target(index).requests() > before[index]; };
        REQUIRE(fixture.runUntil([&] { return received(0) || received(1); }));
        ScriptedTarget &to = fixture.target(received(0) ? 0 : 1);
        if (!hung)
            hung = &to;
        ScriptedTarget &sound = fixture.target(hung == &fixture.target(0) ? 1 : 0);
        if (&to == hung) {
            ++atHung;
            fallSilent(fixture);
            if (!fixture.runUntil([&] { return received(&sound == &fixture.target(0) ? 0 : 1); })) {
                caller.socket.abort();
                fixture.runPendingEvents();
                MESSAGE("no backup in round " << round);
                continue;
            }
        }
        sound.connections.back()->socket.send(signedResponse(id, "tile"));
        REQUIRE(fixture.runUntil([&] { return caller.has("tile"); }));
        fixture.clock.advance(std::chrono::milliseconds(600));
        fixture.runPendingEvents();
    }
    MESSAGE("requests at the hung target: " << atHung << " of 20");
    CHECK(atHung <= 8);
}
