#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/text/apricothook_text_change.hpp>

#include <cstdint>
#include <vector>

namespace Apricothook {

/**
 * What changes when one good text takes the place of another, section by section and by name in
 * each. The order of entries and the way they are written make no difference.
 */
std::vector<TextChange> differenceOf(const FleetText &before, const FleetText &after);

/** What a difference comes to. */
struct DifferenceSummary
{
    std::size_t changes = 0;
    std::size_t targetsToDrain = 0;
    std::size_t loads = 0;
    std::uint64_t loadBytes = 0;
    /** Least time that the weight store's rate in the new text allows for the loads. */
    Duration leastLoadTime {};
    auto operator<=>(const DifferenceSummary &) const = default;
};

DifferenceSummary summaryOf(const std::vector<TextChange> &changes, const Policy &policy);

} // namespace Apricothook
