#include <apricothook/fleetview/apricothook_heartbeat_table.hpp>

#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

Heartbeat beacon(const std::string &member, std::uint64_t process, std::uint64_t sequence)
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
    return beacon(member, process, sequence).report;
}

struct Bench
{
    ManualClock clock;
    HeartbeatTable mates {MemberId("self")};
    HeartbeatChange take(const Heartbeat &beacon) { return mates.apply(beacon, clock.now()); }
    HeartbeatChange take(const CellLoadReport &report) { return mates.apply(report, clock.now()); }
};

} // namespace

TEST_CASE("only newer beacons of a member count")
{
    Bench bench;
    CHECK(bench.take(beacon("a", 7, 3)).isNewProcess);
    CHECK_FALSE(bench.take(beacon("a", 7, 3)).isNewer);
    CHECK_FALSE(bench.take(beacon("a", 7, 2)).isNewer);
    CHECK(bench.take(beacon("a", 7, 4)).isNewer);
    CHECK_FALSE(bench.take(beacon("self", 9, 1)).isNewer);
    CHECK(bench.mates.heard().size() == 1);
}

TEST_CASE("a process that started while its clock was set back is heard")
{
    // The daemon is in lookups again soon after its restart. Its incarnation is a time of day, and
    // that clock was set back meanwhile: the new process seems older than the one that died.
    Bench bench;
    bench.take(beacon("a", 7000, 50));
    CHECK_FALSE(bench.take(beacon("a", 3000, 1)).isNewer);
    bench.clock.advance(std::chrono::milliseconds(600));
    CHECK(bench.take(beacon("a", 3000, 2)).isNewProcess);
    CHECK(bench.take(beacon("a", 3000, 3)).isNewer);
}

TEST_CASE("a member that falls silent is told once, and so is its return")
{
    Bench bench;
    bench.take(beacon("a", 7, 1));
    bench.clock.advance(std::chrono::milliseconds(900));
    CHECK(bench.mates.markSilent(bench.clock.now()).empty());
    bench.clock.advance(std::chrono::milliseconds(200));
    CHECK(bench.mates.markSilent(bench.clock.now()).size() == 1);
    CHECK(bench.mates.markSilent(bench.clock.now()).empty());
    CHECK(bench.mates.heard().empty());
    CHECK(bench.take(beacon("a", 7, 2)).hasReturned);
}

TEST_CASE("a load report counts for the process whose beacon is known, and only when it is newer")
{
    Bench bench;
    CHECK_FALSE(bench.take(report("a", 7, 1)).isNewer);
    bench.take(beacon("a", 7, 1));
    CellLoadReport later = report("a", 7, 2);
    later.loads = {{5, 3}};
    CHECK(bench.take(later).isNewer);
    CHECK(bench.mates.find(MemberId("a"))->report.loads == later.loads);
    CHECK_FALSE(bench.take(later).isNewer);
    CHECK_FALSE(bench.take(report("a", 8, 3)).isNewer);
    CHECK_FALSE(bench.take(beacon("a", 7, 2)).isNewer);
}
