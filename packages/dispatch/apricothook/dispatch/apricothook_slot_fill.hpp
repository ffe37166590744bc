#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <optional>
#include <string_view>

namespace Apricothook {

/** Why this daemon may fill a slot. */
enum class SlotFillCause {
    Unrestricted, ///< No other member has such requests waiting, or the target knows no turns.
    OwnSlot,      ///< A request of this daemon has freed the slot since its last report.
    FirstTurn,    ///< The slot was open to this daemon as soon as it was known to be free.
    LaterTurn,    ///< The slot was left to other daemons for one turn or more.
};

/** Name of the cause in metrics. */
std::string_view nameOf(SlotFillCause cause);

/** How a slot came to be filled by this daemon. */
struct SlotFill
{
    SlotFillCause cause = SlotFillCause::Unrestricted;
    /** Time for which the slot was known to be free; only if the daemons took turns. */
    std::optional<Duration> turnWait;
};

} // namespace Apricothook
