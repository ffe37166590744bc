#include "apricothook_homes_fakes.hpp"

#include <apricothook/homes/apricothook_run_hints.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace Apricothook;
using namespace Apricothook::Testing;

namespace {

RunHint hintOf(const std::string &key)
{
    return {RequestKey(key), Fingerprint(1), TargetId("t"), std::chrono::seconds(10)};
}

HintQuery queryOf(const std::string &key, std::uint64_t fingerprint = 1)
{
    return {1, RequestKey(key), Fingerprint(fingerprint)};
}

} // namespace

TEST_SUITE("[homes][hints]")
{
    // The entry and the key's home die together, as they are one daemon. The daemon that is asked
    // next sees one member less than the entry saw, yet must find the witness that was told.
    TEST_CASE("The witness that was told is among those that are asked after its home died")
    {
        const RosterEntry home {MemberId("h"), DataCentreId()};
        for (int i = 0; i < 200; ++i) {
            const RequestKey key("k" + std::to_string(i));
            FakeMemberView before({MemberId("h"), Incarnation(1)}, {"a", "b", "c", "d"});
            const std::vector<MemberId> told = witnessesOf(key, home, before);
            FakeMemberView after({MemberId("a"), Incarnation(1)}, {"b", "c", "d"});
            const std::vector<MemberId> asked = witnessesOf(key, home, after);
            REQUIRE(told.size() == 2);
            CHECK(std::ranges::find(asked, told.front()) != asked.end());
            CHECK(std::ranges::find(told, home.id) == told.end());
        }
    }

    TEST_CASE("A hint is told for its time, and only of the request that it is about")
    {
        RunHints hints;
        const Instant start {std::chrono::seconds(1)};
        hints.keep(hintOf("k"), start);
        CHECK(hints.answer(queryOf("k"), start).target == TargetId("t"));
        CHECK(hints.answer(queryOf("k", 2), start).target.isEmpty());
        CHECK(hints.answer(queryOf("other"), start).target.isEmpty());
        CHECK(hints.answer(queryOf("k"), start + std::chrono::seconds(10)).target.isEmpty());
    }

    TEST_CASE("Hints are bounded, and the oldest go")
    {
        RunHints hints;
        const Instant now {std::chrono::seconds(1)};
        for (std::size_t i = 0; i <= RunHints::MaximumHints; ++i)
            hints.keep(hintOf("k" + std::to_string(i)), now);
        CHECK(hints.size() == RunHints::MaximumHints);
        CHECK(hints.answer(queryOf("k0"), now).target.isEmpty());
        CHECK_FALSE(hints.answer(queryOf("k1"), now).target.isEmpty());
    }
}
