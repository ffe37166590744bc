#include <apricothook_gateway_fixture.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace Apricothook;

namespace {

/** Registers the target anew, as one of the version. */
void setVersion(GatewayFixture &fixture, std::size_t target, const std::string &version)
{
    TargetEntry entry
        = fixture.gateway.targets().find(TargetId("t" + std::to_string(target)))->entry;
    entry.version = TargetVersion(version);
    fixture.gateway.removeTarget(entry.id);
    fixture.gateway.putTarget(entry);
}

/** A request that goes on with the stream of the caller's request `stream` after its first event.
 */
std::string resumption(const std::string &id, const std::string &stream)
{
    std::string request = GatewayFixture::request("resumable", id);
    request.insert(request.size() - 2, "Last: 1\r\nResumes: " + stream + "\r\n");
    return request;
}

/** Begins the stream "a" and forwards its first event; returns the index of its target. */
std::size_t beginStream(GatewayFixture &fixture, RecordingConnection &caller)
{
    caller.socket.send(GatewayFixture::request("resumable", "a"));
    ScriptedTarget *first = fixture.waitForTarget();
    REQUIRE(first);
    first->connection(0).socket.send(streamHead("a") + eventChunk(1));
    REQUIRE(fixture.runUntil([&] { return caller.has("id: 1\n"); }));
    return first == &fixture.target(0) ? 0 : 1;
}

} // namespace

TEST_CASE("a stream isn't resumed on a target of another version within a response")
{
    // Guards against responses with events of two versions.
    GatewayFixture fixture(2);
    setVersion(fixture, 0, "v1");
    setVersion(fixture, 1, "v2");
    RecordingConnection &caller = fixture.connect();
    const std::size_t first = beginStream(fixture, caller);
    fixture.target(first).connection(0).socket.abort();
    fixture.runUntil(
        [&] { return caller.end.has_value() || fixture.target(1 - first).requests() > 0; });
    CHECK(caller.end.has_value());
    CHECK(fixture.target(1 - first).requests() == 0);
}

TEST_CASE("a stream that a caller takes up isn't sent to a target of another version")
{
    // Guards against a caller's attempts that together hold events of two versions.
    GatewayFixture fixture(2);
    setVersion(fixture, 0, "v1");
    setVersion(fixture, 1, "v2");
    RecordingConnection &caller = fixture.connect();
    const std::size_t first = beginStream(fixture, caller);
    caller.socket.abort();
    REQUIRE(fixture.runUntil([&] { return fixture.target(first).connection(0).end.has_value(); }));
    // One more than the target has slots, so that the other one has the only free slots.
    constexpr std::size_t Slots = 4;
    for (std::size_t attempt = 0; attempt <= Slots; ++attempt)
        fixture.connect().socket.send(resumption("b" + std::to_string(attempt), "a"));
    REQUIRE(fixture.runUntil([&] { return fixture.target(first).requests() == 1 + Slots; }));
    fixture.runPendingEvents();
    CHECK(fixture.target(first).requests() == 1 + Slots);
    CHECK(fixture.target(1 - first).requests() == 0);
}

TEST_CASE("a stream whose version isn't known isn't sent to any target")
{
    // Guards against a guess where nobody remembers the stream.
    GatewayFixture fixture(2);
    setVersion(fixture, 0, "v1");
    setVersion(fixture, 1, "v1");
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(resumption("b", "unknown"));
    fixture.runUntil([&] { return caller.has("HTTP/1.1 503"); });
    CHECK(caller.has("HTTP/1.1 503"));
    CHECK(caller.has("Retry-After"));
    CHECK(fixture.target(0).requests() + fixture.target(1).requests() == 0);
}

namespace {

/** A request that goes on with a stream after its first event, and doesn't name it. */
std::string unnamed(const std::string &id)
{
    std::string request = GatewayFixture::request("resumable", id);
    return request.insert(request.size() - 2, "Last: 1\r\n");
}

/** Passes time in which the view is confirmed. */
void passConfirmed(GatewayFixture &fixture, std::chrono::seconds time)
{
    for (std::chrono::seconds passed {}; passed < time; passed += std::chrono::seconds(1)) {
        fixture.gateway.confirmView(fixture.clock.now());
        fixture.clock.advance(std::chrono::seconds(1));
    }
}

void knowsHistory(GatewayFixture &fixture)
{
    passConfirmed(fixture, UnnamedStreams::LongestAge + std::chrono::seconds(1));
}

/** Whether a stream that isn't named is sent to a target; otherwise it is refused. */
bool goesOn(GatewayFixture &fixture)
{
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(unnamed("b"));
    fixture.runPendingEvents();
    fixture.gateway.confirmView(fixture.clock.now());
    if (fixture.waitForTarget())
        return true;
    CHECK(fixture.runUntil([&] { return caller.has("HTTP/1.1 503"); }));
    return false;
}

} // namespace

TEST_CASE("a stream that isn't named is refused if another version was there within its life")
{
    // Guards against streams of two versions whose callers come again for longer than a timeout.
    GatewayFixture fixture(2);
    knowsHistory(fixture);
    setVersion(fixture, 0, "v2");
    setVersion(fixture, 1, "v2");
    // The route's timeout is 10 s.
    passConfirmed(fixture, std::chrono::seconds(40));
    CHECK_FALSE(goesOn(fixture));
    passConfirmed(fixture, UnnamedStreams::LongestAge);
    CHECK(goesOn(fixture));
}

TEST_CASE("a stream that isn't named goes on only at the sole version of a service")
{
    // Guards against a guess where callers don't name the request that began the stream.
    SUBCASE("one version, and the view is confirmed after the request")
    {
        GatewayFixture fixture(2);
        knowsHistory(fixture);
        fixture.connect().socket.send(unnamed("b"));
        fixture.runPendingEvents();
        CHECK_FALSE(fixture.waitForTarget());
        fixture.gateway.confirmView(fixture.clock.now());
        CHECK(fixture.waitForTarget());
    }
    SUBCASE("the view isn't confirmed in time")
    {
        GatewayFixture fixture(2);
        knowsHistory(fixture);
        RecordingConnection &caller = fixture.connect();
        caller.socket.send(unnamed("b"));
        fixture.runPendingEvents();
        fixture.clock.advance(UnnamedStreams::LongestWait);
        CHECK(fixture.runUntil([&] { return caller.has("HTTP/1.1 503"); }));
    }
    SUBCASE("another version left a while ago")
    {
        GatewayFixture fixture(2);
        setVersion(fixture, 1, "v2");
        setVersion(fixture, 1, "v1");
        fixture.clock.advance(std::chrono::seconds(1));
        fixture.gateway.confirmView(fixture.clock.now());
        RecordingConnection &caller = fixture.connect();
        caller.socket.send(unnamed("b"));
        fixture.runPendingEvents();
        fixture.gateway.confirmView(fixture.clock.now());
        CHECK(fixture.runUntil([&] { return caller.has("HTTP/1.1 503"); }));
    }
    SUBCASE("the daemon has just started")
    {
        GatewayFixture fixture(2);
        fixture.gateway.confirmView(fixture.clock.now());
        RecordingConnection &caller = fixture.connect();
        caller.socket.send(unnamed("b"));
        fixture.runPendingEvents();
        fixture.gateway.confirmView(fixture.clock.now());
        CHECK(fixture.runUntil([&] { return caller.has("HTTP/1.1 503"); }));
    }
}
