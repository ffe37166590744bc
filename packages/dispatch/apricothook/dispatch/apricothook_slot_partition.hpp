#pragma once

#include <cstdint>
#include <vector>

namespace Apricothook {

/** A target's slots, to be divided among cells. */
struct PartitionedTarget
{
    std::uint64_t target = 0; ///< targetHash() of the id.
    std::uint32_t slots = 0;

    auto operator<=>(const PartitionedTarget &) const = default;
};

/** How the fleet's daemons stand in cells; each cell has a part of the slots by its weight. */
struct CellWeights
{
    /** Live daemons of each cell. */
    std::vector<std::uint32_t> weights {1};
    /** The cell of this daemon. */
    std::uint32_t own = 0;

    auto operator<=>(const CellWeights &) const = default;
};

/**
 * The slots that the own cell may use of each target, in the order of `targets`.
 *
 * All targets, sorted by number, form one line of slots, and each cell gets a run of it as long as
 * its weight. Daemons that know the same targets and members agree without a message; where one
 * knows a target more, only the ends of the runs differ. A run that would be shorter than
 * SmallestRun is widened over its neighbours', and the cell uses only a part of each target in it,
 * so that a service with few targets isn't served through a single one.
 */
std::vector<std::uint32_t> slotsOfCell(const std::vector<PartitionedTarget> &targets,
                                       const CellWeights &cells);

/** Slots for which a cell's requests hardly wait for each other at two thirds load. */
constexpr std::uint64_t SmallestRun = 24;
/**
 * Slots that a cell may use in a widened run, in fair parts. The cells there don't know each
 * other's load; with one part a cell would wait while its neighbours' slots are idle.
 */
constexpr std::uint64_t WidenedParts = 2;

} // namespace Apricothook
