#include <apricothook_gateway_fixture.hpp>

#include <apricothook/paths/apricothook_paths_event.hpp>
#include <apricothook/paths/apricothook_relay_server.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace Apricothook;

namespace {

using std::chrono::milliseconds;

const std::string OwnAddress = "127.0.0.1";
const std::string RelayAddress = "127.0.0.2";

class FakePeers : public RelayPeers
{
public:
    std::vector<RelayCandidate> candidates() const override { return relays; }
    bool isDaemon(std::string_view address) const override { return address == known; }
    bool isAlone() const override { return false; }

    std::vector<RelayCandidate> relays;
    std::string known = OwnAddress;
};

/** A gateway whose own paths can be cut, and another daemon that connects it to targets. */
struct RelayFixture : GatewayFixture
{
    explicit RelayFixture(std::size_t targets = 2) : GatewayFixture(targets)
    {
        static_cast<void>(relay->listen({OwnAddress, 0}).value());
        peers.relays = {{{OwnAddress, relay->port()}, DataCentreId("here")}};
        gateway.setRelayPeers(peers);
    }

    void cutOff(const std::string &source = OwnAddress)
    {
        for (const std::unique_ptr<ScriptedTarget> &target : targets)
            target->cutOff(source);
    }
    void mend()
    {
        for (const std::unique_ptr<ScriptedTarget> &target : targets)
            target->mend(OwnAddress);
    }
    /** Connections from the address open, or are open, and carry nothing. */
    void silence(const std::string &source = OwnAddress)
    {
        for (const std::unique_ptr<ScriptedTarget> &target : targets)
            target->stopReading(source);
    }
    void endSilence(const std::string &source = OwnAddress)
    {
        for (const std::unique_ptr<ScriptedTarget> &target : targets)
            target->resumeReading(source);
    }
    /** Passes time in small steps, so that no timer expires late. */
    void pass(milliseconds time)
    {
        constexpr milliseconds Step {10};
        for (milliseconds passed {}; passed < time; passed += Step) {
            clock.advance(Step);
            runPendingEvents();
        }
    }
    RecordingConnection &send(const std::string &route, const std::string &id)
    {
        RecordingConnection &caller = connect();
        caller.socket.send(request(route, id));
        runPendingEvents();
        return caller;
    }
    /** Lets probes and queries of an inquiry end. */
    void inquire()
    {
        for (int step = 0; step < 4; ++step) {
            runPendingEvents();
            clock.advance(ConnectionProbe::ProbeTime);
        }
        runPendingEvents();
    }
    /** Cuts the paths, and lets a request find out. */
    void losePaths()
    {
        cutOff();
        send("idempotent", "lost");
        inquire();
        REQUIRE(gateway.paths().lostCount() > 0);
    }
    /** The connection on which a target has received the request; null if there is none. */
    RecordingConnection *connectionOf(const std::string &id)
    {
        for (const std::unique_ptr<ScriptedTarget> &target : targets) {
            for (const std::unique_ptr<RecordingConnection> &connection : target->connections) {
                if (connection->has("Id: " + id + "\r\n"))
                    return connection.get();
            }
        }
        return nullptr;
    }
    RecordingConnection &waitFor(const std::string &id)
    {
        REQUIRE(runUntil([&] { return connectionOf(id) != nullptr; }));
        return *connectionOf(id);
    }

    FakePeers peers;
    TargetPaths relayPaths;
    std::unique_ptr<RelayServer> relay = std::make_unique<RelayServer>(
        RelayServerContext {loop, peers, gateway.targets(), relayPaths, log, RelayAddress}, random);
};

} // namespace

TEST_CASE("a daemon that has lost its paths serves its callers through another one")
{
    RelayFixture fixture;
    fixture.losePaths();
    const std::size_t refused = fixture.log.count(GatewayEvent::RequestRefused);
    for (const std::string route : {"once", "idempotent"}) {
        RecordingConnection &caller = fixture.send(route, route);
        RecordingConnection &target = fixture.waitFor(route);
        target.socket.send(signedResponse(route, "whole"));
        REQUIRE(fixture.runUntil([&] { return caller.has("whole"); }));
        CHECK(caller.has("HTTP/1.1 200 "));
    }
    CHECK(fixture.log.count(GatewayEvent::RequestRefused) == refused);
}

TEST_CASE("a daemon that has lost its paths takes no target for crashed")
{
    // Its word would make innocent requests suspect at all daemons.
    RelayFixture fixture;
    fixture.send("once", "open");
    fixture.cutOff();
    fixture.inquire();
    fixture.send("idempotent", "lost");
    fixture.inquire();
    CHECK(fixture.log.count(GatewayEvent::TargetCrashed) == 0);
    CHECK(fixture.log.count(GatewayEvent::TargetSurvived) >= 1);
}

TEST_CASE("a target that no daemon reaches has crashed")
{
    RelayFixture fixture;
    fixture.send("once", "open");
    const auto crashed = std::ranges::find_if(
        fixture.targets, [](const auto &target) { return target->requests() == 1; });
    REQUIRE(crashed != fixture.targets.end());
    (*crashed)->crash();
    fixture.inquire();
    CHECK(fixture.log.count(GatewayEvent::TargetCrashed) == 1);
    CHECK(fixture.gateway.paths().lostCount() == 0);
}

TEST_CASE("nothing is concluded about a target if no daemon reaches any")
{
    RelayFixture fixture;
    fixture.send("once", "open");
    fixture.cutOff();
    fixture.cutOff(RelayAddress);
    for (int round = 0; round < 10; ++round)
        fixture.inquire();
    CHECK(fixture.log.count(GatewayEvent::TargetCrashed) == 0);
    CHECK(fixture.gateway.paths().lostCount() == 0);
}

TEST_CASE("a request that no daemon could send is refused as not run")
{
    RelayFixture fixture;
    fixture.losePaths();
    fixture.peers.relays.clear();
    RecordingConnection &caller = fixture.send("once", "a");
    REQUIRE(fixture.runUntil([&] { return caller.has("\r\n\r\n"); }));
    CHECK(caller.has("HTTP/1.1 503 "));
    CHECK(caller.has("Retry-After: "));
    CHECK(fixture.connectionOf("a") == nullptr);
}

TEST_CASE("a request whose other daemon dies may have run")
{
    RelayFixture fixture;
    fixture.losePaths();
    RecordingConnection &caller = fixture.send("once", "a");
    fixture.waitFor("a").socket.send("HTTP/1.1 200 OK\r\nId: a\r\nSigned: yes\r\n\r\npart");
    fixture.runPendingEvents();
    // The connections of a process that ends are closed in order, as is the end of an answer
    // without a length.
    fixture.relay.reset();
    REQUIRE(fixture.runUntil([&] { return caller.has("\r\n\r\n") || caller.end; }));
    CHECK_FALSE(caller.has("part"));
    CHECK(caller.has("HTTP/1.1 502 "));
}

TEST_CASE("an answer without a length that comes through another daemon ends with its connection")
{
    RelayFixture fixture;
    fixture.losePaths();
    RecordingConnection &caller = fixture.send("once", "a");
    RecordingConnection &target = fixture.waitFor("a");
    target.socket.send("HTTP/1.1 200 OK\r\nId: a\r\nSigned: yes\r\n\r\nall of it");
    fixture.runPendingEvents();
    CHECK_FALSE(caller.has("all of it"));
    target.socket.shutdownSend();
    REQUIRE(fixture.runUntil([&] { return caller.has("all of it"); }));
    CHECK(caller.has("HTTP/1.1 200 "));
}

TEST_CASE("a caller that leaves ends the run at the target through the other daemon")
{
    RelayFixture fixture;
    fixture.losePaths();
    RecordingConnection &caller = fixture.send("stream", "a");
    RecordingConnection &target = fixture.waitFor("a");
    caller.socket.abort();
    CHECK(fixture.runUntil([&] { return target.end.has_value(); }));
    CHECK(fixture.relay->sessions() == 0);
}

TEST_CASE("the time that is left is told as of the moment of sending")
{
    RelayFixture fixture;
    fixture.losePaths();
    RecordingConnection &caller = fixture.connect();
    caller.socket.send("GET /once/x HTTP/1.1\r\nHost: host\r\nId: a\r\nPatience: 5000\r\n\r\n");
    fixture.runUntil([&] { return fixture.log.count(GatewayEvent::RequestPlaced) > 2; });
    fixture.clock.advance(milliseconds(100));
    CHECK_FALSE(fixture.waitFor("a").has("Patience: 5000"));
    CHECK(fixture.connectionOf("a")->has("Patience: 4900"));
}

TEST_CASE("a stream's events pass another daemon one by one")
{
    RelayFixture fixture;
    fixture.losePaths();
    RecordingConnection &caller = fixture.send("stream", "a");
    RecordingConnection &target = fixture.waitFor("a");
    target.socket.send(streamHead("a") + eventChunk(1));
    REQUIRE(fixture.runUntil([&] { return caller.has("id: 1\n"); }));
    target.socket.send(eventChunk(2) + std::string(LastChunk));
    REQUIRE(fixture.runUntil([&] { return caller.has("id: 2\n"); }));
    CHECK(fixture.runUntil([&] { return caller.has(LastChunk); }));
}

TEST_CASE("a path that carries connections again is used again")
{
    RelayFixture fixture(1);
    fixture.losePaths();
    fixture.mend();
    fixture.send("once", "probe");
    fixture.waitFor("probe").socket.send(signedResponse("probe", "fine"));
    fixture.inquire();
    CHECK(fixture.gateway.paths().lostCount() == 0);
    const std::size_t carried = fixture.relay->sessions();
    fixture.send("once", "direct");
    fixture.waitFor("direct");
    CHECK(fixture.relay->sessions() <= carried);
}

TEST_CASE("a stranger isn't connected to a target")
{
    RelayFixture fixture;
    fixture.peers.known = "192.0.2.1";
    RecordingConnection stranger(fixture.loop, {OwnAddress, fixture.relay->port()});
    const TargetEntry entry = fixture.gateway.targets().find(TargetId("t0"))->entry;
    stranger.socket.send(writeRequestHead(
        writeRelayRequest({RelayService::Connect, entry.instance(), entry.address, {}}), {}));
    REQUIRE(fixture.runUntil([&] { return stranger.end.has_value(); }));
    CHECK(stranger.received.empty());
    CHECK(fixture.target(0).connections.empty());
}

TEST_CASE("a daemon connects others to registered targets only, and on its own trusted paths")
{
    RelayFixture fixture;
    const TargetEntry entry = fixture.gateway.targets().find(TargetId("t0"))->entry;
    const auto statusFor = [&](const RelayRequest &request) {
        RecordingConnection daemon(fixture.loop, {OwnAddress, fixture.relay->port()});
        daemon.socket.send(writeRequestHead(writeRelayRequest(request), {}));
        fixture.runUntil([&] { return daemon.has("\r\n\r\n"); });
        ResponseReader reader(false);
        static_cast<void>(reader.feed(daemon.received).value());
        return relayOutcomeOf(reader.head().status);
    };
    const RelayRequest known {RelayService::Connect, entry.instance(), entry.address, {}};
    CHECK(statusFor(known) == RelayOutcome::Reached);
    RelayRequest elsewhere = known;
    elsewhere.address = fixture.target(1).address();
    CHECK(statusFor(elsewhere) == RelayOutcome::UnknownTarget);
    RelayRequest former = known;
    former.target.startedAt = 1;
    CHECK(statusFor(former) == RelayOutcome::UnknownTarget);
    fixture.relayPaths.recordLost(TargetInstance {TargetId("t1"), 0}, fixture.clock.now());
    CHECK(statusFor(known) == RelayOutcome::NoPath);
    fixture.relayPaths.forget(TargetInstance {TargetId("t1"), 0});
    fixture.relay->startDraining();
    CHECK(statusFor(known) == RelayOutcome::Busy);
}

TEST_CASE("a path that carries nothing is found lost within half a second")
{
    // Guards against requests that time out one by one on connections that open and stay silent.
    RelayFixture fixture;
    fixture.silence();
    RecordingConnection &caller = fixture.send("idempotent", "a");
    fixture.pass(milliseconds(500));
    REQUIRE(fixture.gateway.paths().lostCount() > 0);
    fixture.waitFor("a").socket.send(signedResponse("a", "whole"));
    CHECK(fixture.runUntil([&] { return caller.has("whole"); }));
}

TEST_CASE("an unsafe request on a path that carries nothing is written once")
{
    // Guards against a second run of a request that may be under way at its target.
    RelayFixture fixture;
    fixture.silence();
    fixture.send("once", "a");
    fixture.pass(milliseconds(500));
    REQUIRE(fixture.gateway.paths().lostCount() > 0);
    fixture.pass(milliseconds(300));
    CHECK(fixture.connectionOf("a") == nullptr);
    RecordingConnection &next = fixture.send("once", "b");
    fixture.waitFor("b").socket.send(signedResponse("b", "whole"));
    CHECK(fixture.runUntil([&] { return next.has("whole"); }));
}

TEST_CASE("a target that stands still is not taken for a lost path")
{
    // Guards against paths that are given up because their target pauses for a second.
    RelayFixture fixture;
    RecordingConnection &caller = fixture.send("stream", "a");
    RecordingConnection &target = fixture.waitFor("a");
    fixture.silence();
    fixture.silence(RelayAddress);
    fixture.pass(milliseconds(1600));
    fixture.endSilence();
    fixture.endSilence(RelayAddress);
    target.socket.send(streamHead("a") + eventChunk(1) + std::string(LastChunk));
    CHECK(fixture.runUntil([&] { return endsComplete(caller); }));
    fixture.pass(milliseconds(300));
    CHECK(fixture.gateway.paths().lostCount() == 0);
}

TEST_CASE("a target that goes on while other daemons are asked is not taken for a lost path")
{
    // Guards against an answer of a peer that is newer than the own probe.
    RelayFixture fixture;
    fixture.silence();
    fixture.silence(RelayAddress);
    const TargetEntry entry = fixture.gateway.targets().find(TargetId("t0"))->entry;
    fixture.send("idempotent", "a");
    for (int step = 0; step < 60; ++step) {
        fixture.pass(milliseconds(10));
        // The peer probes only once it is asked, after the own probe.
        if (step == 45) {
            fixture.endSilence(RelayAddress);
            fixture.endSilence();
        }
    }
    fixture.pass(milliseconds(300));
    CHECK(fixture.gateway.paths().lostCount() == 0);
}

TEST_CASE("a path that carried nothing is used again once it carries bytes")
{
    // Guards against connections that count as proof though nothing passes on them.
    RelayFixture fixture(1);
    fixture.silence();
    fixture.send("once", "a");
    fixture.pass(milliseconds(500));
    REQUIRE(fixture.gateway.paths().lostCount() == 1);
    fixture.pass(milliseconds(600));
    fixture.send("once", "b");
    fixture.pass(milliseconds(600));
    CHECK(fixture.gateway.paths().lostCount() == 1);
    fixture.endSilence();
    fixture.send("once", "c");
    fixture.pass(milliseconds(300));
    CHECK(fixture.gateway.paths().lostCount() == 0);
}

TEST_CASE("a connection outlives the longest pause of a sound target")
{
    // Guards against connections to a machine that stands still and goes on.
    CHECK(StreamSocket::DeadPeerTimeout > CrashDetector::LongestStandstill);
}
