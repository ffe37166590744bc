#include <apricothook/homes/internal/apricothook_home_table.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

using namespace Apricothook;

namespace {

std::vector<MemberId> roster(std::size_t size)
{
    std::vector<MemberId> members;
    for (std::size_t i = 0; i < size; ++i)
        members.emplace_back("entry-" + std::to_string(i));
    return members;
}

RequestKey keyOf(int number)
{
    return RequestKey("order-" + std::to_string(number));
}

} // namespace

TEST_SUITE("[homes][table]")
{
    TEST_CASE("Every member is the home of an equal share of keys, also at 160 members")
    {
        constexpr int Keys = 160000;
        const HomeTable table(roster(160));
        std::map<MemberId, int> counts;
        for (int i = 0; i < Keys; ++i)
            ++counts[table.homeOf(keyOf(i))];
        CHECK(counts.size() == 160);
        for (const auto &[member, count] : counts) {
            CHECK(count > 800);
            CHECK(count < 1200);
        }
    }

    TEST_CASE("The order in which the text names the members makes no difference")
    {
        std::vector<MemberId> turned = roster(9);
        std::reverse(turned.begin(), turned.end());
        const HomeTable table(roster(9));
        const HomeTable other(turned);
        for (int i = 0; i < 1000; ++i)
            CHECK(table.homeOf(keyOf(i)) == other.homeOf(keyOf(i)));
    }

    TEST_CASE("When a member goes, few keys of others get a new home")
    {
        // While a key has an old and a new home, both must grant it, and a request fails where
        // either is out of reach. If all keys moved with each change of the roster, all requests
        // would depend on two daemons for a window.
        constexpr int Keys = 20000;
        std::vector<MemberId> fewer = roster(160);
        const MemberId gone = fewer[7];
        fewer.erase(fewer.begin() + 7);
        const HomeTable before(roster(160));
        const HomeTable after(fewer);
        int moved = 0;
        for (int i = 0; i < Keys; ++i) {
            const MemberId &old = before.homeOf(keyOf(i));
            moved += old != gone && old != after.homeOf(keyOf(i));
        }
        CHECK(moved < Keys / 20);
    }
}
