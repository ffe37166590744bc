#include <apricothook/homes/apricothook_answer_keeper.hpp>

#include "apricothook_homes_fakes.hpp"

#include <doctest/doctest.h>

using namespace Apricothook;
using namespace Apricothook::Testing;

TEST_SUITE("[homes][answers]")
{
    TEST_CASE("Answers are kept for their own customer, within the bytes and the window")
    {
        const CustomerId owner("c");
        AnswerKeeper keeper({4000, std::chrono::seconds(600)});
        const auto answer = [](std::size_t bytes) {
            return std::make_shared<const KeptAnswer>(
                KeptAnswer {{200, {}}, std::string(bytes, 'x')});
        };
        REQUIRE(keeper.keep(RequestKey("1"), owner, answer(1500), at(0)));
        REQUIRE(keeper.keep(RequestKey("2"), owner, answer(1500), at(1)));
        CHECK(keeper.find(RequestKey("1"), owner, at(2)));
        CHECK_FALSE(keeper.find(RequestKey("1"), CustomerId("d"), at(2)));
        SUBCASE("the first that finished goes first")
        {
            keeper.keep(RequestKey("3"), owner, answer(1500), at(2));
            CHECK_FALSE(keeper.find(RequestKey("1"), owner, at(2)));
            CHECK(keeper.find(RequestKey("2"), owner, at(2)));
            CHECK(keeper.bytes() <= 4000);
        }
        SUBCASE("one that is too large drops nobody")
        {
            CHECK_FALSE(keeper.keep(RequestKey("3"), owner, answer(4000), at(2)));
            CHECK(keeper.size() == 2);
        }
        SUBCASE("the first answer of a key stays")
        {
            keeper.keep(RequestKey("1"), owner, answer(1), at(2));
            CHECK(keeper.find(RequestKey("1"), owner, at(2))->body.size() == 1500);
        }
        SUBCASE("the window ends them")
        {
            CHECK_FALSE(keeper.find(RequestKey("1"), owner, at(600)));
            keeper.expire(at(601));
            CHECK(keeper.bytes() == 0);
        }
        SUBCASE("smaller limits hold at once")
        {
            keeper.setLimits({2000, std::chrono::seconds(600)}, at(2));
            CHECK(keeper.size() == 1);
        }
    }
}
