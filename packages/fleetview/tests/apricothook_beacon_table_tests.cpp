#include <apricothook/fleetview/apricothook_beacon_table.hpp>

#include <apricothook/testsupport/apricothook_hand_clock.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

Beacon beacon(const std::string &member, std::uint64_t process, std::uint64_t sequence)
{
    Beacon made;
    made.sender.member = MemberId(member);
    made.sender.process = Incarnation(process);
    made.sender.isReady = true;
    made.report.member = memberNumber(made.sender.member);
    made.report.process = Incarnation(process);
    made.report.sequence = sequence;
    return made;
}

CellReport report(const std::string &member, std::uint64_t process, std::uint64_t sequence)
{
    return beacon(member, process, sequence).report;
}

struct Bench
{
    HandClock clock;
    BeaconTable mates {MemberId("self"), Incarnation(1'000'000)};
    BeaconEffect take(const Beacon &beacon) { return mates.take(beacon, clock.now()); }
    BeaconEffect take(const CellReport &report) { return mates.take(report, clock.now()); }
};

} // namespace

TEST_CASE("only newer beacons of a member count")
{
    Bench bench;
    CHECK(bench.take(beacon("a", 7, 3)).isNewProcess);
    CHECK_FALSE(bench.take(beacon("a", 7, 3)).isNews);
    CHECK_FALSE(bench.take(beacon("a", 7, 2)).isNews);
    CHECK(bench.take(beacon("a", 7, 4)).isNews);
    CHECK_FALSE(bench.take(beacon("self", 9, 1)).isNews);
    CHECK(bench.mates.heard().size() == 1);
}

TEST_CASE("a process that started while its clock was set back is heard")
{
    // The daemon is in lookups again soon after its restart. Its incarnation is a time of day, and
    // that clock was set back meanwhile: the new process seems older than the one that died.
    Bench bench;
    bench.take(beacon("a", 7000, 50));
    CHECK_FALSE(bench.take(beacon("a", 3000, 1)).isNews);
    bench.clock.advance(std::chrono::milliseconds(600));
    CHECK(bench.take(beacon("a", 3000, 2)).isNewProcess);
    CHECK(bench.take(beacon("a", 3000, 3)).isNews);
}

TEST_CASE("a member that falls silent is told once, and so is its return")
{
    Bench bench;
    bench.take(beacon("a", 7, 1));
    bench.clock.advance(std::chrono::milliseconds(900));
    CHECK(bench.mates.noteSilent(bench.clock.now()).empty());
    bench.clock.advance(std::chrono::milliseconds(200));
    CHECK(bench.mates.noteSilent(bench.clock.now()).size() == 1);
    CHECK(bench.mates.noteSilent(bench.clock.now()).empty());
    CHECK(bench.mates.heard().empty());
    CHECK(bench.take(beacon("a", 7, 2)).isBack);
}

TEST_CASE("a load report counts for the process whose beacon is known, and only when it is newer")
{
    Bench bench;
    CHECK_FALSE(bench.take(report("a", 7, 1)).isNews);
    bench.take(beacon("a", 7, 1));
    CellReport later = report("a", 7, 2);
    later.loads = {{5, 3}};
    CHECK(bench.take(later).isNews);
    CHECK(bench.mates.find(MemberId("a"))->report.loads == later.loads);
    CHECK_FALSE(bench.take(later).isNews);
    CHECK_FALSE(bench.take(report("a", 8, 3)).isNews);
    CHECK_FALSE(bench.take(beacon("a", 7, 2)).isNews);
}

TEST_CASE("what a member admitted is told as a difference")
{
    Bench bench;
    Beacon first = beacon("a", 7, 1);
    first.report.use = {{1, 100}};
    // It was admitted before this daemon knew the member.
    CHECK(bench.take(first).admitted.empty());
    Beacon second = beacon("a", 7, 2);
    second.report.use = {{1, 150}, {2, 5}};
    CHECK(bench.take(second).admitted == std::vector<ReportedUse> {{1, 50}, {2, 5}});
    Beacon restarted = beacon("a", 8, 1);
    restarted.report.use = {{1, 30}};
    CHECK(bench.take(restarted).admitted == std::vector<ReportedUse> {{1, 30}});
}

TEST_CASE("use that a lost report told is in the next beacon's difference, and nothing twice")
{
    // Customers' limits hold over the fleet. A report between two beacons tells only the customers
    // whose use has changed; one of them is lost here.
    Bench bench;
    Beacon first = beacon("a", 7, 1);
    first.report.use = {{1, 100}, {2, 10}};
    bench.take(first);
    CellReport taken = report("a", 7, 2);
    taken.use = {{1, 120}};
    CHECK(bench.take(taken).admitted == std::vector<ReportedUse> {{1, 20}});
    Beacon second = beacon("a", 7, 4);
    second.report.use = {{1, 125}, {2, 14}};
    CHECK(bench.take(second).admitted == std::vector<ReportedUse> {{1, 5}, {2, 4}});
}

TEST_CASE("what daemons that started together admitted before they knew each other counts")
{
    // A customer keeps to its limit right after all daemons were killed at once. Each serves from
    // its start on and hears of the others some tenths of a second later. With what they admitted
    // meanwhile left out, some daemons of a fleet believed 1.0 million units used and others 2.6
    // million of the same 2.6, and the customer got 1.2 to 1.7 million a second at a rate of 0.9.
    Bench bench;
    const auto used = [](std::uint64_t process) {
        Beacon made = beacon("m" + std::to_string(process), process, 1);
        made.report.use = {{5, 300}};
        return made;
    };
    CHECK(bench.take(used(999'200)).admitted == std::vector<ReportedUse> {{5, 300}});
    CHECK(bench.take(used(1'000'400)).admitted == std::vector<ReportedUse> {{5, 300}});
    // One that has run for long admitted it at any time.
    CHECK(bench.take(used(900'000)).admitted.empty());
}
