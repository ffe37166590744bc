#include <apricothook_gateway_fixture.hpp>

#include <doctest/doctest.h>

#include <set>

using namespace Apricothook;

namespace {

class RecordingGuard : public SuspectGuard
{
public:
    std::optional<Duration> quarantine(Fingerprint request) override
    {
        asked.push_back(request);
        return quarantined.contains(request) ? std::optional<Duration>(std::chrono::seconds(600))
                                             : std::nullopt;
    }
    void recordAnswer(Fingerprint request) override { answered.push_back(request); }
    void recordCrash(const TargetId &target, const std::vector<Fingerprint> &requests) override
    {
        crashes.emplace_back(target, requests);
    }

    std::vector<Fingerprint> asked;
    std::vector<Fingerprint> answered;
    std::vector<std::pair<TargetId, std::vector<Fingerprint>>> crashes;
    std::set<Fingerprint> quarantined;
};

struct CrashFixture : GatewayFixture
{
    explicit CrashFixture(std::size_t targets = 1) : GatewayFixture(targets)
    {
        gateway.setSuspectGuard(guard);
    }

    RecordingGuard guard;
};

} // namespace

TEST_CASE("all requests that are lost in a crash are reported together")
{
    CrashFixture fixture;
    RecordingConnection &first = fixture.connect();
    first.socket.send(GatewayFixture::request("once", "a", "one"));
    RecordingConnection &second = fixture.connect();
    second.socket.send(GatewayFixture::request("once", "b", "two"));
    REQUIRE(fixture.runUntil([&] { return fixture.target(0).requests() == 2; }));
    fixture.target(0).crash();
    REQUIRE(fixture.runUntil([&] { return first.has("\r\n\r\n") && second.has("\r\n\r\n"); }));
    fixture.runPendingEvents();
    fixture.clock.advance(CrashDetector::ProbeTime);
    REQUIRE(fixture.runUntil([&] { return !fixture.guard.crashes.empty(); }));
    REQUIRE(fixture.guard.crashes.size() == 1);
    CHECK(fixture.guard.crashes[0].first == TargetId("t0"));
    CHECK(fixture.guard.crashes[0].second.size() == 2);
    CHECK(fixture.guard.answered.empty());
}

TEST_CASE("a target that drops a connection but accepts new ones is not reported as crashed")
{
    CrashFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("once", "a"));
    ScriptedTarget *target = fixture.waitForTarget();
    REQUIRE(target);
    target->connection(0).socket.abort();
    REQUIRE(fixture.runUntil([&] { return caller.has("\r\n\r\n"); }));
    fixture.runPendingEvents();
    fixture.clock.advance(CrashDetector::ProbeTime);
    fixture.runPendingEvents();
    CHECK(fixture.guard.crashes.empty());
}

TEST_CASE("a quarantined request is rejected as not run, with a Retry-After")
{
    CrashFixture fixture;
    RecordingConnection &caller = fixture.connect();
    caller.socket.send(GatewayFixture::request("idempotent", "a", "poison"));
    ScriptedTarget *target = fixture.waitForTarget();
    REQUIRE(target);
    target->connection(0).socket.send(signedResponse("a", "fine"));
    REQUIRE(fixture.runUntil([&] { return caller.has("fine"); }));
    REQUIRE(fixture.guard.answered.size() == 1);
    // The same request with another id has the same fingerprint.
    fixture.guard.quarantined.insert(fixture.guard.answered.front());
    RecordingConnection &again = fixture.connect();
    again.socket.send(GatewayFixture::request("idempotent", "b", "poison"));
    REQUIRE(fixture.runUntil([&] { return again.has("\r\n\r\n"); }));
    CHECK(again.has("HTTP/1.1 503 "));
    CHECK(again.has("Retry-After: "));
    CHECK(fixture.target(0).requests() == 1);
    // A different body gives a different fingerprint.
    RecordingConnection &other = fixture.connect();
    other.socket.send(GatewayFixture::request("idempotent", "c", "harmless"));
    CHECK(fixture.runUntil([&] { return fixture.target(0).requests() == 2; }));
}
