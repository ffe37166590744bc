#pragma once

#include <string_view>

namespace Apricothook {

/** How a request ended; nameOf() gives the names used in the log and in docs/OPERATIONS.md. */
enum class RequestOutcome {
    Answered,
    NoConfiguration,
    Leaving,
    BadRequest,
    NoRoute,
    UnknownKey,
    OverLimit,
    NoGrantor,
    NoRoom,
    NoMemory,
    TargetsRefused,
    Quarantined,
    Uninformed,
    UnknownVersion,
    TargetFailed,
    TimedOut,
    CallerGone,
};

std::string_view nameOf(RequestOutcome outcome);

} // namespace Apricothook
