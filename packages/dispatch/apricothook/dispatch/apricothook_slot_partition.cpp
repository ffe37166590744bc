#include <apricothook/dispatch/apricothook_slot_partition.hpp>

#include <algorithm>
#include <numeric>

namespace Apricothook {

namespace {

/** A range in the sequence of all slots; it may wrap around at the end. */
struct Run
{
    std::uint64_t from = 0;
    std::uint64_t length = 0;
};

Run fairRun(std::uint64_t slots, const CellWeights &cells)
{
    const auto own = cells.weights.begin() + cells.own;
    const std::uint64_t before = std::accumulate(cells.weights.begin(), own, std::uint64_t {0});
    const std::uint64_t all = std::accumulate(own, cells.weights.end(), before);
    if (all == 0)
        return {0, slots};
    const std::uint64_t from = slots * before / all;
    return {from, slots * (before + *own) / all - from};
}

Run extended(const Run &fair, std::uint64_t slots)
{
    const std::uint64_t length = std::min(slots, std::max(fair.length, SmallestRun));
    const std::uint64_t extension = (length - fair.length) / 2;
    return {(fair.from + slots - extension) % slots, length};
}

std::uint64_t overlap(std::uint64_t from, std::uint64_t to, const Run &run)
{
    const std::uint64_t start = std::max(from, run.from);
    const std::uint64_t end = std::min(to, run.from + run.length);
    return end > start ? end - start : 0;
}

std::uint64_t divideRoundingUp(std::uint64_t value, std::uint64_t divisor)
{
    return (value + divisor - 1) / divisor;
}

/** Slots of a target within the run that the cell may use. */
std::uint64_t usableSlots(std::uint64_t inRun, const Run &fair, const Run &run)
{
    if (run.length == fair.length)
        return inRun;
    const std::uint64_t parts = std::max<std::uint64_t>(fair.length, 1) * ExtendedShares;
    return std::min(inRun, divideRoundingUp(inRun * parts, run.length));
}

} // namespace

std::vector<std::uint32_t> slotsOfCell(const std::vector<PartitionedTarget> &targets,
                                       const CellWeights &cells)
{
    std::vector<std::size_t> order(targets.size());
    std::iota(order.begin(), order.end(), std::size_t {0});
    std::ranges::sort(order, {}, [&](std::size_t index) { return targets[index].target; });
    std::uint64_t slots = 0;
    for (const PartitionedTarget &target : targets)
        slots += target.slots;
    std::vector<std::uint32_t> parts(targets.size(), 0);
    if (slots == 0)
        return parts;
    const Run fair = fairRun(slots, cells);
    const Run run = extended(fair, slots);
    std::uint64_t from = 0;
    for (const std::size_t index : order) {
        const std::uint64_t to = from + targets[index].slots;
        const std::uint64_t inRun = overlap(from, to, run) + overlap(from + slots, to + slots, run);
        parts[index] = static_cast<std::uint32_t>(usableSlots(inRun, fair, run));
        from = to;
    }
    return parts;
}

} // namespace Apricothook
