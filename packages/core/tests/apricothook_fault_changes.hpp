#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace Apricothook {

/** How far a new configuration has come when the fault comes. */
enum class ChangeStep {
    Published, ///< At the platform only.
    ReadByOne, ///< One watcher has it in force and has told nobody.
    Fetching,  ///< Others were told and fetch it.
    HalfTaken, ///< In force at two of four daemons, cut off from the others.
    InForce,   ///< Everywhere.
};
constexpr std::size_t ChangeSteps = 5;

enum class ChangeFault {
    None,
    PlatformDown,
    PlatformStale,
    ReaderDies,
    ReaderRestarts,
    ReaderStops,
    ReaderPaused,
    OtherRestarts,
    OtherPaused,
    DaemonJoins,
    DaemonJoinsPlatformStale,
    NoticesLost,
    NoticesDoubled,
    HalvesCut,
    NextChange,
    NextChangePlatformStale,
};
constexpr std::size_t ChangeFaults = 16;

enum class ChangeEnd {
    Everywhere, ///< In force at every daemon that runs.
    Holds,      ///< What was in force before goes on, until the platform can be read again.
};

struct ChangeRow
{
    ChangeFault fault = ChangeFault::None;
    /** By step. */
    ChangeEnd expected[ChangeSteps] {};
};

const std::vector<ChangeRow> &changeRows();
std::string_view nameOf(ChangeStep step);
std::string_view nameOf(ChangeFault fault);
std::string_view nameOf(ChangeEnd end);

} // namespace Apricothook
