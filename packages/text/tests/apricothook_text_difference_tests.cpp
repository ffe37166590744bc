#include <apricothook/text/apricothook_fleet_text_parser.hpp>
#include <apricothook/text/apricothook_text_difference.hpp>

#include "apricothook_test_files.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Apricothook;

namespace {

FleetText mulgara()
{
    return parseFleetText(readTestFile("examples/mulgara.json")).value();
}

TextChange onlyChange(const FleetText &before, const FleetText &after)
{
    const std::vector<TextChange> changes = differenceOf(before, after);
    REQUIRE(changes.size() == 1);
    return changes.front();
}

using Effects = std::vector<ChangeEffect>;

} // namespace

TEST_CASE("The order of entries is no difference")
{
    const FleetText before = mulgara();
    FleetText after = before;
    std::reverse(after.targets.begin(), after.targets.end());
    std::reverse(after.roster.begin(), after.roster.end());
    std::reverse(after.models.front().adapters.begin(), after.models.front().adapters.end());
    CHECK(differenceOf(before, after).empty());
}

TEST_CASE("A difference tells what a release brings about")
{
    const FleetText before = mulgara();
    FleetText after = before;
    SUBCASE("a removed target drains")
    {
        after.targets.erase(after.targets.begin());
        const TextChange change = onlyChange(before, after);
        CHECK(change.kind == ChangeKind::Removed);
        CHECK(change.effects == Effects {ChangeEffect::Drains});
        CHECK(describe(change)
              == "target analyst-1 is removed; drains: gets no new work and ends what it runs");
    }
    SUBCASE("a moved engine drains and loads its model again")
    {
        after.targets[0].address.port = 21999;
        const TextChange change = onlyChange(before, after);
        CHECK(change.effects == Effects {ChangeEffect::Drains, ChangeEffect::Loads});
        REQUIRE(change.loads.size() == 1);
        CHECK(change.loads[0].model == ModelId("signal-70b"));
    }
    SUBCASE("a new version is loaded by each target of the model")
    {
        after.models[0].version = "2026.12";
        const std::vector<TextChange> changes = differenceOf(before, after);
        const DifferenceSummary summary = summaryOf(changes, after.policy);
        CHECK(changes.size() == 6);
        CHECK(summary.loads == 5);
        CHECK(summary.loadBytes == 5 * 140'000'000'000ULL);
        CHECK(summary.targetsToDrain == 0);
        CHECK(summary.leastLoadTime == std::chrono::seconds(1400));
    }
    SUBCASE("another model on a target is loaded, and the one left out given up")
    {
        after.targets[0].models = {ModelId("signal-8b")};
        CHECK(onlyChange(before, after).effects
              == Effects {ChangeEffect::Loads, ChangeEffect::Unloads});
    }
    SUBCASE("a daemon that leaves the roster moves homes")
    {
        after.roster.pop_back();
        CHECK(onlyChange(before, after).effects == Effects {ChangeEffect::MovesHomes});
    }
    SUBCASE("limits, tokens and tiers")
    {
        after.customers[0].burst = 7;
        CHECK(describe(onlyChange(before, after))
              == "customer field: burst 80 -> 7; limits change");
        after = before;
        after.customers[0].keyHashes.push_back(std::string(64, 'a'));
        CHECK(onlyChange(before, after).effects == Effects {ChangeEffect::ChangesTrust});
        after = before;
        after.classes[0].tier = Tier(2);
        CHECK(onlyChange(before, after).effects == Effects {ChangeEffect::ChangesTiers});
    }
}
