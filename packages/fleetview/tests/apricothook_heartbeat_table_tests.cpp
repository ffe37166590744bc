#include <apricothook/fleetview/apricothook_heartbeat_table.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

Heartbeat heartbeat(const std::string &member, std::uint64_t process, std::uint64_t sequence)
{
    Heartbeat made;
    made.sender.member = MemberId(member);
    made.sender.process = Incarnation(process);
    made.sender.isReady = true;
    made.report.member = memberHash(made.sender.member);
    made.report.process = Incarnation(process);
    made.report.sequence = sequence;
    return made;
}

CellLoadReport report(const std::string &member, std::uint64_t process, std::uint64_t sequence)
{
    return heartbeat(member, process, sequence).report;
}

struct Bench
{
    ManualClock clock;
    HeartbeatTable peers {MemberId("self")};
    HeartbeatChange take(const Heartbeat &heartbeat) { return peers.apply(heartbeat, clock.now()); }
    HeartbeatChange take(const CellLoadReport &report) { return peers.apply(report, clock.now()); }
};

} // namespace

TEST_CASE("outdated heartbeats of a member are ignored")
{
    Bench bench;
    CHECK(bench.take(heartbeat("a", 7, 3)).isNewProcess);
    CHECK_FALSE(bench.take(heartbeat("a", 7, 3)).isNewer);
    CHECK_FALSE(bench.take(heartbeat("a", 7, 2)).isNewer);
    CHECK(bench.take(heartbeat("a", 7, 4)).isNewer);
    CHECK_FALSE(bench.take(heartbeat("self", 9, 1)).isNewer);
    CHECK(bench.peers.livePeers().size() == 1);
}

TEST_CASE("a process that started while its clock was set back is accepted")
{
    // Incarnations are derived from the time of day. If the clock is set back before a daemon
    // restarts, the new process has a smaller incarnation than the one that died. It must still be
    // accepted, so that lookups return the daemon soon after its restart.
    Bench bench;
    bench.take(heartbeat("a", 7000, 50));
    CHECK_FALSE(bench.take(heartbeat("a", 3000, 1)).isNewer);
    bench.clock.advance(std::chrono::milliseconds(600));
    CHECK(bench.take(heartbeat("a", 3000, 2)).isNewProcess);
    CHECK(bench.take(heartbeat("a", 3000, 3)).isNewer);
}

TEST_CASE("a member's silence is reported once, and so is its return")
{
    Bench bench;
    bench.take(heartbeat("a", 7, 1));
    bench.clock.advance(std::chrono::milliseconds(900));
    CHECK(bench.peers.markSilent(bench.clock.now()).empty());
    bench.clock.advance(std::chrono::milliseconds(200));
    CHECK(bench.peers.markSilent(bench.clock.now()).size() == 1);
    CHECK(bench.peers.markSilent(bench.clock.now()).empty());
    CHECK(bench.peers.livePeers().empty());
    CHECK(bench.take(heartbeat("a", 7, 2)).hasReturned);
}

TEST_CASE("a load report is accepted only if it is newer and its process has sent a heartbeat")
{
    Bench bench;
    CHECK_FALSE(bench.take(report("a", 7, 1)).isNewer);
    bench.take(heartbeat("a", 7, 1));
    CellLoadReport later = report("a", 7, 2);
    later.loads = {{5, 3}};
    CHECK(bench.take(later).isNewer);
    CHECK(bench.peers.find(MemberId("a"))->report.loads == later.loads);
    CHECK_FALSE(bench.take(later).isNewer);
    CHECK_FALSE(bench.take(report("a", 8, 3)).isNewer);
    CHECK_FALSE(bench.take(heartbeat("a", 7, 2)).isNewer);
}
