#pragma once

#include <string_view>

namespace Apricothook {

/** Why a request is refused or fails; the log and docs/OPERATIONS.md name it the same way. */
enum class RequestEnd {
    Answered,
    NoConfiguration,
    Leaving,
    BadRequest,
    NoRoute,
    UnknownKey,
    OverLimit,
    NoGrantor,
    NoRoom,
    TargetsRefused,
    Quarantined,
    TargetFailed,
    TimedOut,
    CallerGone,
};

std::string_view nameOf(RequestEnd end);

} // namespace Apricothook
