#include "apricothook_steward_fakes.hpp"

#include <apricothook/steward/apricothook_shard_chooser.hpp>

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>

using namespace Apricothook;
using namespace Apricothook::Testing;

namespace {

class SeededRandom : public RandomSource
{
public:
    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine {7};
};

FleetText twoRegions(std::size_t targets)
{
    FleetText text = fleet(targets, 4);
    text.dataCentres.push_back({DataCentreId("dc2"), RegionId("r2")});
    for (std::size_t index = 0; index < targets / 2; ++index)
        text.targets[index].dataCentre = DataCentreId("dc2");
    return text;
}

} // namespace

TEST_SUITE("[steward][chooser]")
{
    TEST_CASE("At most three shards are asked, the near region first")
    {
        const ShardMap map(twoRegions(160));
        SeededRandom random;
        ShardChooser chooser(RegionId("r1"), random);
        for (int count = 0; count < 100; ++count) {
            const auto chosen
                = chooser.choose(map, {ServiceId("s"), ModelId(), PrefixHash(5)}, Instant(1h));
            REQUIRE(chosen.size() == 3);
            CHECK(chosen[0].region == RegionId("r1"));
            CHECK(chosen[1].region == RegionId("r1"));
            CHECK(chosen[2].region == RegionId("r2"));
            CHECK(std::set<ShardId>(chosen.begin(), chosen.end()).size() == 3);
        }
    }

    TEST_CASE("Summaries that lag don't draw everybody to one shard")
    {
        // Every entry holds the same old summary in which one shard of ten looks empty. If all
        // chose the best, that shard would be flooded; by two choices it gets a fifth of the first
        // askings.
        const ShardMap map(fleet(80, 4));
        SeededRandom random;
        ShardChooser chooser(RegionId("r1"), random);
        const Instant now(1h);
        const auto &shards = map.shardsOf(ServiceId("s"), RegionId("r1"), ModelId());
        for (const ShardId &shard : shards)
            chooser.learn({shard, 0, 10, shard == shards[0] ? 0ms : 900ms, {}}, now);
        int first = 0;
        for (int count = 0; count < 1000; ++count)
            first += chooser.choose(map, {ServiceId("s"), ModelId(), {}}, now)[0] == shards[0] ? 1
                                                                                               : 0;
        CHECK(first < 260);
        CHECK(first > 140);
        SUBCASE("news of a full shard counts at once")
        {
            chooser.learnFull(shards[0], 5s, now);
            first = 0;
            for (int count = 0; count < 1000; ++count)
                first += chooser.choose(map, {ServiceId("s"), ModelId(), {}}, now)[0] == shards[0];
            CHECK(first == 0);
        }
    }

    TEST_CASE("A prefix goes to its shard while waits are near")
    {
        const ShardMap map(fleet(80, 4));
        SeededRandom random;
        ShardChooser chooser(RegionId("r1"), random);
        const Instant now(1h);
        std::map<ShardId, int> homes;
        for (std::uint64_t prefix = 1; prefix <= 200; ++prefix) {
            const ShardQuestion question {ServiceId("s"), ModelId(), PrefixHash(prefix * 7919)};
            const ShardId home = chooser.choose(map, question, now)[0];
            ++homes[home];
            CHECK(chooser.choose(map, question, now)[0] == home);
            chooser.learn({home, 0, 50, 10s, {}}, now);
            CHECK(chooser.choose(map, question, now)[0] != home);
            chooser.learn({home, 4, 0, 0s, {}}, now);
        }
        CHECK(homes.size() == 10);
    }

    TEST_CASE("One steward per shard, near it, and its load spreads")
    {
        const ShardMap map(fleet(600, 4));
        std::vector<std::string> names;
        names.reserve(160);
        for (int index = 0; index < 160; ++index)
            names.push_back("m" + std::to_string(index));
        FakeMemberView view("m0", names);
        std::map<MemberId, int> shards;
        std::map<ShardId, MemberId> before;
        for (const auto &[id, shard] : map.shards()) {
            before[id] = map.stewardOf(id, view);
            ++shards[before[id]];
        }
        for (const auto &[member, count] : shards)
            CHECK(count <= 5);
        const MemberId leaving = before.begin()->second;
        view.set(leaving.text(), MemberState::Leaving);
        for (const auto &[id, steward] : before) {
            const MemberId after = map.stewardOf(id, view);
            CHECK((after == steward) == (steward != leaving));
        }
    }

    TEST_CASE("A suspected steward's shard goes to its deputy and comes back")
    {
        // The only steward of a service dies. Lookups of 2 s patience fail until it has another:
        // when its death was certain, that took 9.5 s at 9 daemons, and half of it since suspects
        // lose their shards. Where all members are suspects, one of them keeps the shard.
        const ShardMap map(fleet(4, 4));
        const ShardId shard = map.shards().begin()->first;
        FakeMemberView view("m9", {"m1", "m2", "m3"});
        const MemberId steward = map.stewardOf(shard, view);
        const MemberId deputy = map.deputyOf(shard, view);
        CHECK(deputy != steward);
        view.set(steward.text(), MemberState::Suspect);
        CHECK(map.stewardOf(shard, view) == deputy);
        view.set(steward.text(), MemberState::Alive);
        CHECK(map.stewardOf(shard, view) == steward);
        for (const std::string name : {"m1", "m2", "m3"})
            view.set(name, MemberState::Suspect);
        CHECK(map.stewardOf(shard, view) == steward);
    }
}
