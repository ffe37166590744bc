#include <apricothook/fleetview/apricothook_fleet_directory.hpp>

#include <apricothook/testsupport/apricothook_deterministic_random.hpp>
#include <apricothook/testsupport/apricothook_manual_clock.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>

using namespace Apricothook;

namespace {

MemberInfo memberInfo(const std::string &member, std::uint32_t age = 0)
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

    void take(const MemberInfo &info)
    {
        directory.update(info, clock.now());
        directory.review(clock.now());
    }
    void fleet(std::size_t others)
    {
        for (std::size_t index = 0; index < others; ++index)
            take(memberInfo("m" + std::to_string(index)));
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

TEST_CASE("a silent member soon stops counting as live, and later as known")
{
    Bench bench;
    bench.take(memberInfo("a"));
    bench.pass(std::chrono::milliseconds(900));
    CHECK(bench.live() == 2);
    bench.pass(std::chrono::milliseconds(200));
    CHECK(bench.live() == 1);
    CHECK(bench.known() == 2);
    bench.pass(FleetDirectory::KnownLimit);
    CHECK(bench.known() == 1);
    CHECK(bench.directory.members().size() == 1);
    bench.pass(FleetDirectory::AddressRetention);
    CHECK(bench.directory.members().empty());
}

TEST_CASE("gossip about a dead member doesn't make it live")
{
    // Daemons still forward the name of a daemon that has died, and callers must not be sent to it.
    // The forwarded information includes the time since the member itself was heard.
    Bench bench;
    bench.take(memberInfo("a"));
    bench.pass(std::chrono::milliseconds(800));
    bench.take(memberInfo("a", 700));
    bench.pass(std::chrono::milliseconds(1000));
    bench.take(memberInfo("a", 1800));
    CHECK(bench.live() == 1);
    bench.take(memberInfo("a", 10));
    CHECK(bench.live() == 2);
}

TEST_CASE("a leaving member isn't counted as known once it is silent")
{
    Bench bench;
    MemberInfo leaving = memberInfo("a");
    leaving.isLeaving = true;
    bench.take(leaving);
    bench.pass(std::chrono::seconds(2));
    CHECK(bench.known() == 1);
}

TEST_CASE("a fleet of sixteen is one cell, a larger one has cells of eight to sixteen")
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

TEST_CASE("daemons agree on the cells whatever the order of discovery")
{
    Bench one;
    one.fleet(60);
    Bench other;
    for (std::size_t index = 60; index-- > 0;)
        other.take(memberInfo("m" + std::to_string(index)));
    CHECK(one.directory.cells() == other.directory.cells());
    CHECK(one.directory.weights(one.clock.now()).weights
          == other.directory.weights(other.clock.now()).weights);
}

TEST_CASE("members stay in their cells when others die")
{
    Bench bench;
    bench.fleet(60);
    std::map<MemberId, std::uint32_t> before;
    for (const auto &[id, member] : bench.directory.members())
        before[id] = member.cell;
    bench.pass(std::chrono::milliseconds(5000));
    for (std::size_t index = 0; index < 40; ++index)
        bench.take(memberInfo("m" + std::to_string(index)));
    for (const auto &[id, member] : bench.directory.members())
        CHECK(before[id] == member.cell);
    const CellWeights weights = bench.directory.weights(bench.clock.now());
    CHECK(std::accumulate(weights.weights.begin(), weights.weights.end(), 0U) == 41);
}

TEST_CASE("a sample has the requested number of members and varies")
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

TEST_CASE("the two daemons of a cell with the largest capacity read at the source")
{
    Bench bench;
    MemberInfo self = memberInfo("self");
    self.capacity = 12;
    CHECK(bench.directory.isReader(self, bench.clock.now()));
    for (const char *name : {"a", "b", "c"}) {
        MemberInfo large = memberInfo(name);
        large.capacity = 50;
        bench.take(large);
    }
    CHECK_FALSE(bench.directory.isReader(self, bench.clock.now()));
    self.capacity = 100;
    CHECK(bench.directory.isReader(self, bench.clock.now()));
}

TEST_CASE("more daemons read while the source rejects some, as it may also reject their successors")
{
    // The source stops answering half of the VMs, both readers among them. One of the two
    // successors gets no answer either, which is noticed only after a second timeout. A new
    // configuration must still take effect in time.
    Bench bench;
    MemberInfo self = memberInfo("self");
    self.capacity = 12;
    for (const char *name : {"a", "b", "c", "d"}) {
        MemberInfo larger = memberInfo(name);
        larger.capacity = 50;
        bench.take(larger);
    }
    REQUIRE_FALSE(bench.directory.isReader(self, bench.clock.now()));
    bench.pass(std::chrono::milliseconds(1));
    for (const char *name : {"a", "b"}) {
        MemberInfo silenced = memberInfo(name);
        silenced.capacity = 50;
        silenced.hasLostSource = true;
        bench.take(silenced);
    }
    CHECK(bench.directory.isReader(self, bench.clock.now()));
}

TEST_CASE("readers that have lost the source, are silent or leave are replaced")
{
    // New configurations must take effect even if the source rejects the readers: the next daemons
    // of the cell take over, and if none is left, all daemons try to read.
    Bench bench;
    MemberInfo self = memberInfo("self");
    self.capacity = 12;
    MemberInfo one = memberInfo("a");
    MemberInfo other = memberInfo("b");
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
    // The other reader has been silent for longer than a second.
    bench.pass(std::chrono::milliseconds(200));
    CHECK(bench.directory.isReader(self, bench.clock.now()));
    self.hasLostSource = true;
    CHECK(bench.directory.isReader(self, bench.clock.now()));
}

TEST_CASE("a fleet whose size is between two numbers of cells keeps the number that it has")
{
    // Of 259 daemons, about three aren't heard of at any time, and 256 daemons are sixteen full
    // cells. A daemon that alternated between two numbers of cells lost a third of the others for a
    // second each time: its cell's part of the targets changed, and lookups didn't return these
    // daemons.
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
    // A daemon that has just started learns the number of cells from the others.
    Bench started;
    started.fleet(250);
    REQUIRE(started.directory.cells() == 16);
    started.directory.adoptCellCount(32, started.clock.now());
    CHECK(started.directory.cells() == 32);
    started.directory.adoptCellCount(64, started.clock.now());
    started.directory.adoptCellCount(33, started.clock.now());
    CHECK(started.directory.cells() == 32);
}

TEST_CASE("a daemon has discovered the fleet when most seeds are heard and no new members appear")
{
    // Daemons that start during a network partition must not take their side for the whole fleet.
    Bench bench;
    const std::vector<Endpoint> seeds {{"10.0.0.1", 1}, {"10.0.0.2", 1}, {"10.0.0.3", 1}};
    const Endpoint own {"10.0.0.9", 1};
    const auto knows
        = [&] { return bench.directory.hasDiscoveredFleet(seeds, own, bench.clock.now()); };
    const auto takeSeed = [&](std::size_t index) {
        MemberInfo seed = memberInfo("seed" + std::to_string(index));
        seed.peerAddress = seeds[index];
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
    alone.pass(FleetDirectory::SeedTimeout);
    CHECK(alone.directory.hasDiscoveredFleet(seeds, own, alone.clock.now()));
}

TEST_CASE("callers aren't sent to a daemon that was last heard many seconds ago")
{
    // A caller connects to a daemon of another cell that died ten seconds ago. In a fleet of many
    // cells, such a daemon counts as live until several summaries of its cell have been missed.
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
