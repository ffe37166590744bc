#include <apricothook_gateway_bench.hpp>

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

struct CrashBench : GatewayBench
{
    explicit CrashBench(std::size_t targets = 1) : GatewayBench(targets)
    {
        gateway.setSuspectGuard(guard);
    }

    RecordingGuard guard;
};

} // namespace

TEST_CASE("all requests that are lost in a crash are reported together")
{
    CrashBench bench;
    HeldConnection &first = bench.connect();
    first.socket.send(GatewayBench::request("once", "a", "one"));
    HeldConnection &second = bench.connect();
    second.socket.send(GatewayBench::request("once", "b", "two"));
    REQUIRE(bench.until([&] { return bench.target(0).requests() == 2; }));
    bench.target(0).crash();
    REQUIRE(bench.until([&] { return first.has("\r\n\r\n") && second.has("\r\n\r\n"); }));
    bench.settle();
    bench.clock.advance(CrashWatch::ProbeTime);
    REQUIRE(bench.until([&] { return !bench.guard.crashes.empty(); }));
    REQUIRE(bench.guard.crashes.size() == 1);
    CHECK(bench.guard.crashes[0].first == TargetId("t0"));
    CHECK(bench.guard.crashes[0].second.size() == 2);
    CHECK(bench.guard.answered.empty());
}

TEST_CASE("a target that drops a connection but accepts new ones is not reported as crashed")
{
    CrashBench bench;
    HeldConnection &caller = bench.connect();
    caller.socket.send(GatewayBench::request("once", "a"));
    ScriptedTarget *target = bench.targetWith();
    REQUIRE(target);
    target->connection(0).socket.abort();
    REQUIRE(bench.until([&] { return caller.has("\r\n\r\n"); }));
    bench.settle();
    bench.clock.advance(CrashWatch::ProbeTime);
    bench.settle();
    CHECK(bench.guard.crashes.empty());
}

TEST_CASE("a quarantined request is rejected as not run, with a Retry-After")
{
    CrashBench bench;
    HeldConnection &caller = bench.connect();
    caller.socket.send(GatewayBench::request("idempotent", "a", "poison"));
    ScriptedTarget *target = bench.targetWith();
    REQUIRE(target);
    target->connection(0).socket.send(wholeAnswer("a", "fine"));
    REQUIRE(bench.until([&] { return caller.has("fine"); }));
    REQUIRE(bench.guard.answered.size() == 1);
    // The same request with another id has the same fingerprint.
    bench.guard.quarantined.insert(bench.guard.answered.front());
    HeldConnection &again = bench.connect();
    again.socket.send(GatewayBench::request("idempotent", "b", "poison"));
    REQUIRE(bench.until([&] { return again.has("\r\n\r\n"); }));
    CHECK(again.has("HTTP/1.1 503 "));
    CHECK(again.has("Retry-After: "));
    CHECK(bench.target(0).requests() == 1);
    // A different body gives a different fingerprint.
    HeldConnection &other = bench.connect();
    other.socket.send(GatewayBench::request("idempotent", "c", "harmless"));
    CHECK(bench.until([&] { return bench.target(0).requests() == 2; }));
}
