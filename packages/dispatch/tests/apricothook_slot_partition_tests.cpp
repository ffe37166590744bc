#include <apricothook/dispatch/apricothook_slot_partition.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>

using namespace Apricothook;

namespace {

std::vector<PartitionedTarget> targets(std::size_t count, std::uint32_t slots)
{
    std::vector<PartitionedTarget> made;
    for (std::size_t index = 0; index < count; ++index)
        made.push_back({(index + 1) * 1000003 % 7919, slots});
    return made;
}

std::uint64_t sum(const std::vector<std::uint32_t> &parts)
{
    return std::accumulate(parts.begin(), parts.end(), std::uint64_t {0});
}

/** Slots of each target that all cells together may use. */
std::vector<std::uint32_t> usedByAll(const std::vector<PartitionedTarget> &all, CellWeights cells)
{
    std::vector<std::uint32_t> used(all.size(), 0);
    for (cells.own = 0; cells.own < cells.weights.size(); ++cells.own) {
        const std::vector<std::uint32_t> parts = slotsOfCell(all, cells);
        std::ranges::transform(used, parts, used.begin(), std::plus<>());
    }
    return used;
}

} // namespace

TEST_CASE("a fleet of one cell uses every slot")
{
    CHECK(slotsOfCell(targets(3, 14), {}) == std::vector<std::uint32_t> {14, 14, 14});
    CHECK(slotsOfCell({}, {}).empty());
}

TEST_CASE("cells divide all slots in proportion to their daemons")
{
    const auto all = targets(90, 8);
    const CellWeights cells {{8, 4, 12, 8}, 2};
    CHECK(std::ranges::all_of(usedByAll(all, cells), [](std::uint32_t used) { return used == 8; }));
    CHECK(sum(slotsOfCell(all, cells)) == 90 * 8 * 12 / 32);
    CHECK(sum(slotsOfCell(all, {{8, 0, 24}, 1})) <= SmallestRun);
}

TEST_CASE("an additional target moves only the ends of the runs")
{
    // Daemons learn of a new target at different times and disagree on it until then. If all parts
    // moved at once, every target would get too much work from one cell or another.
    auto all = targets(90, 8);
    const CellWeights cells {{8, 8, 8, 8, 8, 8, 8, 8}, 3};
    const std::vector<std::uint32_t> before = slotsOfCell(all, cells);
    all.push_back({77, 8});
    const std::vector<std::uint32_t> after = slotsOfCell(all, cells);
    std::uint32_t moved = 0;
    for (std::size_t index = 0; index < before.size(); ++index)
        moved += std::max(before[index], after[index]) - std::min(before[index], after[index]);
    CHECK(moved <= 16);
}

TEST_CASE("each cell uses several targets of a service with few targets")
{
    // With one target per cell, its crash would leave the cell's callers without an answer while
    // other targets are idle.
    const auto all = targets(4, 6);
    const std::vector<std::uint32_t> parts = slotsOfCell(all, {{8, 8, 8, 8, 8, 8, 8, 8}, 5});
    CHECK(parts == std::vector<std::uint32_t> {2, 2, 2, 2});
}

TEST_CASE("a daemon that knows no live cell uses all slots")
{
    CHECK(slotsOfCell(targets(2, 6), {{0, 0}, 1}) == std::vector<std::uint32_t> {6, 6});
}
