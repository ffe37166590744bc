#pragma once

#include <cstdint>
#include <vector>

namespace Apricothook {

/** A target whose slots are divided among cells. */
struct PartitionedTarget
{
    std::uint64_t target = 0; ///< targetHash() of the id.
    std::uint32_t slots = 0;

    auto operator<=>(const PartitionedTarget &) const = default;
};

/** The fleet's cells; each cell gets a share of the slots by its weight. */
struct CellWeights
{
    /** Number of live daemons in each cell. */
    std::vector<std::uint32_t> weights {1};
    /** Index of this daemon's cell. */
    std::uint32_t own = 0;

    auto operator<=>(const CellWeights &) const = default;
};

/**
 * Slots of each target that this daemon's cell may use, in the order of `targets`.
 *
 * The slots of all targets, sorted by number, form one sequence, and each cell gets a run of it in
 * proportion to its weight. Daemons that know the same targets and members agree without a message;
 * if one knows an additional target, only the ends of the runs differ. A run that would be shorter
 * than SmallestRun is extended into its neighbours' runs, and the cell uses only part of each
 * target's slots in it, so that a service with few targets isn't served through a single one.
 */
std::vector<std::uint32_t> slotsOfCell(const std::vector<PartitionedTarget> &targets,
                                       const CellWeights &cells);

/** Number of slots with which a cell's requests hardly wait for each other at two thirds load. */
constexpr std::uint64_t SmallestRun = 24;
/**
 * Slots that a cell may use in an extended run, as a multiple of its fair share. The cells there
 * don't know each other's load; with one share a cell would wait while its neighbours' slots are
 * idle.
 */
constexpr std::uint64_t ExtendedShares = 2;

} // namespace Apricothook
