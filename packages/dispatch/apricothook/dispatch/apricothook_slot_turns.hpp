#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <vector>

namespace Apricothook {

/**
 * Decides when this daemon may fill a slot that another daemon has reported as free.
 *
 * Load pattern: capacity is short, and many daemons have waiting requests when one of them reports
 * a free slot. If all of them fill it before they receive each other's reports, their requests
 * queue at the engine, where more urgent ones can't overtake them. The daemons take turns instead,
 * in the order of their rendezvous weights for the target, which all of them compute alike without
 * a message.
 */
class SlotTurns
{
public:
    /**
     * Time after which a slot opens to one more daemon: the delay of a report (25 ms) and its
     * transmission (10 ms). By then the others know whether the slot was filled.
     */
    static constexpr std::chrono::milliseconds TurnLength {35};

    /** `self`: memberHash() of this daemon. */
    explicit SlotTurns(std::uint64_t self) : m_self(self) { }

    /**
     * Time at which this daemon's turn begins. `freeSlots`, at least 1: slots of the target that
     * are known to be free; `freeSince`: the time since when the first of them is. `contenders`:
     * the other members that have requests waiting for it. `ownFills`: slots that this daemon has
     * filled within the last turn. It has its next turn after all contenders, as these may have
     * filled others of the slots and their reports haven't arrived.
     */
    Instant opensAt(std::uint64_t target, std::uint32_t freeSlots, Instant freeSince,
                    const std::vector<std::uint64_t> &contenders, std::uint32_t ownFills = 0) const;
    bool isOpen(std::uint64_t target, std::uint32_t freeSlots, Instant freeSince,
                const std::vector<std::uint64_t> &contenders, Instant now) const
    {
        return opensAt(target, freeSlots, freeSince, contenders) <= now;
    }

private:
    const std::uint64_t m_self;
};

} // namespace Apricothook
