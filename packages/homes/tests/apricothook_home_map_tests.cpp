#include "apricothook_homes_fakes.hpp"

#include <doctest/doctest.h>

using namespace Apricothook;
using namespace Apricothook::Testing;

namespace {

constexpr double Window = 600;
const RequestKey Key("k");
const CustomerId CustomerC("c");

std::vector<MemberId> homesAt(const HomeMap &map, double seconds, const RequestKey &key = Key)
{
    return map.homesOf(key, CustomerC, at(seconds)).value().homes;
}

} // namespace

TEST_SUITE("[homes][map]")
{
    TEST_CASE("Without a ticket the home is one member of the customer's home region")
    {
        Configuration configuration = configurationOf(1, {"a", "b", "c"});
        configuration.text.dataCentres.push_back({DataCentreId("far"), RegionId("other")});
        configuration.text.roster.push_back({MemberId("z"), DataCentreId("far")});
        HomeMap map(MemberId("a"), readerOf());
        map.apply(configuration, at(0));
        std::map<MemberId, int> counts;
        for (int i = 0; i < 3000; ++i) {
            const auto homes = homesAt(map, 0, RequestKey(std::to_string(i)));
            REQUIRE(homes.size() == 1);
            ++counts[homes.front()];
        }
        CHECK(counts.size() == 3);
        for (const auto &[member, count] : counts)
            CHECK(count > 850);
        CHECK(map.homesOf(Key, CustomerId("stranger"), at(0)).error()
              == HomeError::UnknownCustomer);
    }

    TEST_CASE("A region without daemons leaves the whole roster")
    {
        Configuration configuration = configurationOf(1, {"a"});
        configuration.text.customers[0].homeRegion = RegionId("empty");
        HomeMap map(MemberId("a"), readerOf());
        CHECK(map.homesOf(Key, CustomerC, at(0)).error() == HomeError::NotConfigured);
        map.apply(configuration, at(0));
        CHECK(homesAt(map, 0) == members({"a"}));
    }

    TEST_CASE("After a change of roster the old home is asked until a window after it learned it")
    {
        // A home that was cut off during the change grants under the old roster, by itself. If
        // others dropped it by their own clocks alone, a key could be granted by it and by the new
        // home.
        HomeMap map(MemberId("e"), readerOf());
        map.apply(configurationOf(1, {"a"}), at(0));
        REQUIRE(map.apply(configurationOf(2, {"b"}), at(100)));
        SUBCASE("which it said at once")
        {
            map.noteGeneration(MemberId("a"), Generation(2), at(101));
            map.noteGeneration(MemberId("a"), Generation(3), at(400));
            CHECK(homesAt(map, 100 + Window) == members({"a", "b"}));
            CHECK(homesAt(map, 101 + Window) == members({"b"}));
        }
        SUBCASE("which it said late")
        {
            map.noteGeneration(MemberId("a"), Generation(1), at(101));
            map.noteGeneration(MemberId("a"), Generation(2), at(900));
            CHECK(homesAt(map, 899 + Window) == members({"a", "b"}));
            CHECK(homesAt(map, 900 + Window) == members({"b"}));
        }
        SUBCASE("which it never said: three windows")
        {
            CHECK(homesAt(map, 99 + 3 * Window) == members({"a", "b"}));
            CHECK(homesAt(map, 100 + 3 * Window) == members({"b"}));
        }
    }

    TEST_CASE("Two changes within the window add up, and too many are refused")
    {
        HomeMap map(MemberId("e"), readerOf());
        for (std::uint64_t i = 1; i <= 4; ++i)
            map.apply(configurationOf(i, {std::string(1, static_cast<char>('a' + i))}), at(0));
        CHECK(homesAt(map, 1) == members({"b", "c", "d", "e"}));
        map.apply(configurationOf(5, {"z"}), at(1));
        CHECK(map.homesOf(Key, CustomerC, at(1)).error() == HomeError::TooManyHomes);
        map.apply(configurationOf(4, {"b"}), at(2));
        CHECK(map.generation() == Generation(5));
    }

    TEST_CASE("A new text with the same roster moves no home, but a customer's new region does")
    {
        Configuration configuration = configurationOf(1, {"a"});
        configuration.text.dataCentres.push_back({DataCentreId("d2"), RegionId("r2")});
        configuration.text.roster.push_back({MemberId("b"), DataCentreId("d2")});
        HomeMap map(MemberId("e"), readerOf());
        CHECK_FALSE(map.apply(configuration, at(0)));
        configuration.generation = Generation(2);
        configuration.text.policy.shardTargets = 3;
        CHECK_FALSE(map.apply(configuration, at(1)));
        CHECK(homesAt(map, 1) == members({"a"}));
        configuration.generation = Generation(3);
        configuration.text.customers[0].homeRegion = RegionId("r2");
        CHECK(map.apply(configuration, at(2)));
        CHECK(homesAt(map, 3) == members({"a", "b"}));
        CHECK(homesAt(map, 2 + 3 * Window) == members({"b"}));
    }
}
