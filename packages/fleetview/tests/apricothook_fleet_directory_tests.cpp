#include <apricothook/fleetview/apricothook_fleet_directory.hpp>

#include <apricothook/testsupport/apricothook_deterministic_random.hpp>
#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>

using namespace Apricothook;

namespace {

MemberInfo brief(const std::string &member, std::uint32_t age = 0)
{
    MemberInfo made;
    made.member = MemberId(member);
    made.isReady = true;
    made.age = age;
    return made;
}

struct Bench
{
    ManualClock clock;
    FleetDirectory directory {MemberId("self")};

    void take(const MemberInfo &brief)
    {
        directory.update(brief, clock.now());
        directory.review(clock.now());
    }
    void fleet(std::size_t others)
    {
        for (std::size_t index = 0; index < others; ++index)
            take(brief("m" + std::to_string(index)));
    }
    void pass(std::chrono::milliseconds time)
    {
        clock.advance(time);
        directory.review(clock.now());
    }
    std::size_t live() const { return directory.liveCount(clock.now()); }
    std::size_t known() const { return directory.knownCount(clock.now()); }
};

} // namespace

TEST_CASE("a silent member leaves lookups soon and the count of known ones later")
{
    Bench bench;
    bench.take(brief("a"));
    bench.pass(std::chrono::milliseconds(900));
    CHECK(bench.live() == 2);
    bench.pass(std::chrono::milliseconds(200));
    CHECK(bench.live() == 1);
    CHECK(bench.known() == 2);
    bench.pass(FleetDirectory::KnownLimit);
    CHECK(bench.known() == 1);
    CHECK(bench.directory.members().size() == 1);
    bench.pass(FleetDirectory::AddressLimit);
    CHECK(bench.directory.members().empty());
}

TEST_CASE("word of a dead member that goes round doesn't make it live")
{
    // Callers aren't sent to a daemon that died. Others still pass its name on; with it goes the
    // time since it was heard itself.
    Bench bench;
    bench.take(brief("a"));
    bench.pass(std::chrono::milliseconds(800));
    bench.take(brief("a", 700));
    bench.pass(std::chrono::milliseconds(1000));
    bench.take(brief("a", 1800));
    CHECK(bench.live() == 1);
    bench.take(brief("a", 10));
    CHECK(bench.live() == 2);
}

TEST_CASE("a member that leaves isn't counted as one that may be cut off")
{
    Bench bench;
    MemberInfo leaving = brief("a");
    leaving.isLeaving = true;
    bench.take(leaving);
    bench.pass(std::chrono::seconds(2));
    CHECK(bench.known() == 1);
}

TEST_CASE("a fleet of sixteen is one cell, a larger one makes cells of eight to sixteen")
{
    Bench bench;
    bench.fleet(15);
    CHECK(bench.directory.cells() == 1);
    bench.fleet(16);
    CHECK(bench.directory.cells() == 2);
    bench.fleet(88);
    CHECK(bench.directory.cells() == 8);
    bench.fleet(319);
    CHECK(bench.directory.cells() == 32);
    const CellWeights weights = bench.directory.weights(bench.clock.now());
    CHECK(std::accumulate(weights.weights.begin(), weights.weights.end(), 0U) == 320);
    CHECK(std::ranges::max(weights.weights) <= 20);
    CHECK(bench.directory.membersOfCell(weights.own).size() + 1 == weights.weights[weights.own]);
}

TEST_CASE("daemons agree on the cells whatever they heard first")
{
    Bench one;
    one.fleet(60);
    Bench other;
    for (std::size_t index = 60; index-- > 0;)
        other.take(brief("m" + std::to_string(index)));
    CHECK(one.directory.cells() == other.directory.cells());
    CHECK(one.directory.weights(one.clock.now()).weights
          == other.directory.weights(other.clock.now()).weights);
}

TEST_CASE("a death moves no other member to another cell")
{
    Bench bench;
    bench.fleet(60);
    std::map<MemberId, std::uint32_t> before;
    for (const auto &[id, member] : bench.directory.members())
        before[id] = member.cell;
    bench.pass(std::chrono::milliseconds(5000));
    for (std::size_t index = 0; index < 40; ++index)
        bench.take(brief("m" + std::to_string(index)));
    for (const auto &[id, member] : bench.directory.members())
        CHECK(before[id] == member.cell);
    const CellWeights weights = bench.directory.weights(bench.clock.now());
    CHECK(std::accumulate(weights.weights.begin(), weights.weights.end(), 0U) == 41);
}

TEST_CASE("a sample has as many members as are asked for, and each time others")
{
    Bench bench;
    bench.fleet(60);
    DeterministicRandom random;
    const auto sample = [&] { return bench.directory.sample(16, random, bench.clock.now()); };
    CHECK(sample().size() == 16);
    CHECK(sample() != sample());
    Bench few;
    few.fleet(3);
    CHECK(few.directory.sample(16, random, few.clock.now()).size() == 3);
}

TEST_CASE("two daemons of a cell read at the source, the largest first")
{
    Bench bench;
    MemberInfo self = brief("self");
    self.capacity = 12;
    CHECK(bench.directory.isReader(self, bench.clock.now()));
    for (const char *name : {"a", "b", "c"}) {
        MemberInfo large = brief(name);
        large.capacity = 50;
        bench.take(large);
    }
    CHECK_FALSE(bench.directory.isReader(self, bench.clock.now()));
    self.capacity = 100;
    CHECK(bench.directory.isReader(self, bench.clock.now()));
}

TEST_CASE(
    "more daemons read while the source turns some away, as it may turn their successors away")
{
    // Callers are served by a new configuration in time. The source falls silent for half of the
    // VMs, both readers among them; of two successors one is silent too, and shows it only after as
    // long again.
    Bench bench;
    MemberInfo self = brief("self");
    self.capacity = 12;
    for (const char *name : {"a", "b", "c", "d"}) {
        MemberInfo larger = brief(name);
        larger.capacity = 50;
        bench.take(larger);
    }
    REQUIRE_FALSE(bench.directory.isReader(self, bench.clock.now()));
    bench.pass(std::chrono::milliseconds(1));
    for (const char *name : {"a", "b"}) {
        MemberInfo silenced = brief(name);
        silenced.capacity = 50;
        silenced.hasLostSource = true;
        bench.take(silenced);
    }
    CHECK(bench.directory.isReader(self, bench.clock.now()));
}

TEST_CASE("readers that lost the source, fell silent or leave are replaced")
{
    // Callers are served by new configurations though the source turns the readers away: the next
    // in the cell take over, and when nobody is left, all try.
    Bench bench;
    MemberInfo self = brief("self");
    self.capacity = 12;
    MemberInfo one = brief("a");
    MemberInfo other = brief("b");
    one.capacity = other.capacity = 50;
    bench.take(one);
    bench.take(other);
    CHECK_FALSE(bench.directory.isReader(self, bench.clock.now()));
    bench.pass(std::chrono::milliseconds(500));
    one.hasLostSource = true;
    bench.take(one);
    CHECK(bench.directory.isReader(self, bench.clock.now()));
    CHECK(bench.directory.sourceReachability(self, bench.clock.now())
          == SourceReachability {false, true});
    bench.pass(std::chrono::milliseconds(500));
    one.hasLostSource = false;
    one.reachesSource = true;
    bench.take(one);
    CHECK(bench.directory.sourceReachability(self, bench.clock.now())
          == SourceReachability {true, false});
    // The other one has been silent for longer than a second.
    bench.pass(std::chrono::milliseconds(200));
    CHECK(bench.directory.isReader(self, bench.clock.now()));
    self.hasLostSource = true;
    CHECK(bench.directory.isReader(self, bench.clock.now()));
}

TEST_CASE("a fleet at the border of two numbers of cells keeps the one that it has")
{
    // Callers are served by the cell's own part of the targets, and find the daemons that live.
    // Of 259 daemons some three aren't heard of at any time, and 256 are sixteen full cells. A
    // daemon that changed to and fro missed a third of the others for a second at a time.
    Bench bench;
    bench.fleet(258);
    REQUIRE(bench.directory.cells() == 32);
    const auto hearOnly = [&bench](std::size_t others) {
        bench.pass(FleetDirectory::KnownLimit);
        bench.fleet(others);
        bench.pass(std::chrono::milliseconds(1));
    };
    hearOnly(250);
    CHECK(bench.directory.cells() == 32);
    hearOnly(190);
    CHECK(bench.directory.cells() == 16);
    // One that has just started hears from the others how many cells there are.
    Bench started;
    started.fleet(250);
    REQUIRE(started.directory.cells() == 16);
    started.directory.adoptCellCount(32, started.clock.now());
    CHECK(started.directory.cells() == 32);
    started.directory.adoptCellCount(64, started.clock.now());
    started.directory.adoptCellCount(33, started.clock.now());
    CHECK(started.directory.cells() == 32);
}

TEST_CASE("a daemon knows the fleet when most seeds are heard and nobody new comes")
{
    // Daemons that all start while they are cut in two don't take each side for the fleet.
    Bench bench;
    const std::vector<Endpoint> seeds {{"10.0.0.1", 1}, {"10.0.0.2", 1}, {"10.0.0.3", 1}};
    const Endpoint own {"10.0.0.9", 1};
    const auto knows
        = [&] { return bench.directory.hasDiscoveredFleet(seeds, own, bench.clock.now()); };
    const auto takeSeed = [&](std::size_t index) {
        MemberInfo seed = brief("seed" + std::to_string(index));
        seed.beaconAddress = seeds[index];
        bench.take(seed);
    };
    takeSeed(0);
    bench.pass(std::chrono::seconds(5));
    CHECK_FALSE(knows());
    takeSeed(1);
    CHECK(knows());
    Bench alone;
    alone.pass(std::chrono::milliseconds(1));
    alone.pass(std::chrono::milliseconds(500));
    CHECK(alone.directory.hasDiscoveredFleet({own}, own, alone.clock.now()));
    CHECK_FALSE(alone.directory.hasDiscoveredFleet(seeds, own, alone.clock.now()));
    alone.pass(FleetDirectory::LoneTime);
    CHECK(alone.directory.hasDiscoveredFleet(seeds, own, alone.clock.now()));
}

TEST_CASE("callers aren't named a daemon that was last heard many seconds ago")
{
    // A caller connects to a daemon that died ten seconds ago. The daemon was of another cell, and
    // in a fleet of many cells that counts as live until its next summaries have been missed.
    Bench bench;
    bench.fleet(300);
    REQUIRE(bench.directory.otherCellLimit() > std::chrono::seconds(10));
    const auto namedAndLive = [&] {
        std::pair<std::size_t, std::size_t> counts;
        for (const auto &[id, member] : bench.directory.members()) {
            counts.first += bench.directory.isRoutable(member, bench.clock.now()) ? 1 : 0;
            counts.second += bench.directory.isLive(member, bench.clock.now()) ? 1 : 0;
        }
        return counts;
    };
    CHECK(namedAndLive().first == 300);
    bench.pass(std::chrono::seconds(6));
    CHECK(namedAndLive().first == 0);
    CHECK(namedAndLive().second > 200);
}
