#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace Apricothook {

/** What has changed the number of free slots of a target. */
enum class SlotChange {
    OwnRequest,   ///< A request of this daemon started or ended.
    MemberReport, ///< Another member reported its load, or fell silent.
    Assignment,   ///< The target or the cell's part of it changed.
};

/**
 * The free slots of one target, and since when each of them is known to be free.
 *
 * A slot that a request of this daemon has freed is reserved: no other daemon knows of it until
 * this one reports its load.
 */
class FreedSlots
{
public:
    /** The target has `free` slots from now on. */
    void update(std::uint32_t free, SlotChange change, Instant now);
    /** The other daemons learn of the reserved slots, so that these are shared from now on. */
    void recordReport(Instant now);

    std::uint32_t reserved() const { return m_reserved; }
    std::uint32_t shared() const { return static_cast<std::uint32_t>(m_sharedSince.size()); }
    /** Time since when the first of the shared slots is free; empty if there is none. */
    std::optional<Instant> firstSharedSince() const;
    /** Times after `since` at which this daemon filled shared slots, in ascending order. */
    std::vector<Instant> fillsAfter(Instant since) const;

private:
    std::uint32_t m_reserved = 0;
    /** For each shared slot, in ascending order. */
    std::vector<Instant> m_sharedSince;
    /** Times at which this daemon filled shared slots; older ones than a turn are removed. */
    std::vector<Instant> m_fills;
};

} // namespace Apricothook
