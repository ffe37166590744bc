#include <apricothook/fleetview/apricothook_beacon_table.hpp>

#include <apricothook/testsupport/apricothook_hand_clock.hpp>

#include <doctest/doctest.h>

using namespace Apricothook;

namespace {

Endpoint address(std::uint16_t port)
{
    return {"10.0.0.1", port};
}

Beacon beacon(const std::string &member, std::uint64_t incarnation, std::uint64_t sequence,
              std::uint16_t port)
{
    Beacon made;
    made.member = MemberId(member);
    made.incarnation = Incarnation(incarnation);
    made.sequence = sequence;
    made.isReady = true;
    made.beaconAddress = address(port);
    made.callerAddress = address(static_cast<std::uint16_t>(port + 1));
    made.itemAddress = address(static_cast<std::uint16_t>(port + 2));
    return made;
}

struct Bench
{
    HandClock clock;
    BeaconTable members {MemberId("self"), address(1), {address(1), address(10)}};
    BeaconEffect take(const Beacon &beacon) { return members.take(beacon, clock.now()); }
};

} // namespace

TEST_CASE("a beacon comes back as it was written")
{
    Beacon made = beacon("a", 7, 3, 10);
    made.isLeaving = true;
    made.dataCentre = DataCentreId("d");
    made.revision = 99;
    made.loads = {{1, 2}, {3, 4}};
    made.waiting = {{5, Tier(2), Tier(3), 6}};
    made.use = {{7, 8}};
    made.others = {address(20)};
    CHECK(parseBeacon(writeBeacon(made)).value() == made);
    CHECK_FALSE(parseBeacon(""));
    CHECK_FALSE(parseBeacon(writeBeacon(made).substr(0, 20)));
    CHECK_FALSE(parseBeacon("nonsense"));
}

TEST_CASE("only newer beacons of a member count")
{
    Bench bench;
    CHECK(bench.take(beacon("a", 7, 3, 10)).isNewProcess);
    CHECK_FALSE(bench.take(beacon("a", 7, 3, 10)).isNews);
    CHECK_FALSE(bench.take(beacon("a", 7, 2, 10)).isNews);
    CHECK(bench.take(beacon("a", 7, 4, 10)).isNews);
    CHECK_FALSE(bench.take(beacon("self", 9, 1, 1)).isNews);
    CHECK(bench.members.heardCount() == 2);
}

TEST_CASE("a process that started while its clock was set back is heard")
{
    // The daemon is in lookups again soon after its restart. Its incarnation is a time of day, and
    // that clock was set back meanwhile: the new process seems older than the one that died.
    Bench bench;
    bench.take(beacon("a", 7000, 50, 10));
    CHECK_FALSE(bench.take(beacon("a", 3000, 1, 10)).isNews);
    bench.clock.advance(std::chrono::milliseconds(600));
    CHECK(bench.take(beacon("a", 3000, 2, 10)).isNewProcess);
    CHECK(bench.take(beacon("a", 3000, 3, 10)).isNews);
}

TEST_CASE("a silent member leaves lookups soon and the count of known ones later")
{
    Bench bench;
    bench.take(beacon("a", 7, 1, 10));
    bench.clock.advance(std::chrono::milliseconds(900));
    CHECK(bench.members.noteSilent(bench.clock.now()).empty());
    bench.clock.advance(std::chrono::milliseconds(200));
    CHECK(bench.members.noteSilent(bench.clock.now()).size() == 1);
    CHECK(bench.members.heardCount() == 1);
    CHECK(bench.members.knownCount(bench.clock.now()) == 2);
    bench.clock.advance(BeaconTable::KnownLimit);
    CHECK(bench.members.knownCount(bench.clock.now()) == 1);
    CHECK(bench.take(beacon("a", 7, 2, 10)).isBack);
}

TEST_CASE("what a member admitted is told as a difference")
{
    Bench bench;
    Beacon first = beacon("a", 7, 1, 10);
    first.use = {{1, 100}};
    // It was admitted before this daemon knew the member.
    CHECK(bench.take(first).admitted.empty());
    Beacon second = beacon("a", 7, 2, 10);
    second.use = {{1, 150}, {2, 5}};
    CHECK(bench.take(second).admitted == std::vector<BeaconUse> {{1, 50}, {2, 5}});
    Beacon restarted = beacon("a", 8, 1, 10);
    restarted.use = {{1, 30}};
    CHECK(bench.take(restarted).admitted == std::vector<BeaconUse> {{1, 30}});
}

TEST_CASE("seeds that are out of date don't keep a daemon alone")
{
    // The daemon finds the others through any one of them. Of its seeds only one lives; that one
    // tells the others' addresses.
    Bench bench;
    CHECK(bench.members.addresses(bench.clock.now()) == std::set<Endpoint> {address(10)});
    Beacon told = beacon("a", 7, 1, 10);
    told.others = {address(20), address(30), address(1)};
    bench.take(told);
    CHECK(bench.members.addresses(bench.clock.now())
          == std::set<Endpoint> {address(10), address(20), address(30)});
    bench.clock.advance(BeaconTable::AddressLimit + std::chrono::seconds(1));
    bench.members.noteSilent(bench.clock.now());
    CHECK(bench.members.addresses(bench.clock.now()) == std::set<Endpoint> {address(10)});
}
