#include <apricothook/dispatch/apricothook_slot_fill.hpp>

namespace Apricothook {

std::string_view nameOf(SlotFillCause cause)
{
    switch (cause) {
    case SlotFillCause::Unrestricted:
        return "unrestricted";
    case SlotFillCause::OwnSlot:
        return "own-slot";
    case SlotFillCause::FirstTurn:
        return "first-turn";
    case SlotFillCause::LaterTurn:
        return "later-turn";
    }
    return "unknown";
}

} // namespace Apricothook
