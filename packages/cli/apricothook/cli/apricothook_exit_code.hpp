#pragma once

namespace Apricothook {

/** How `apricothook` ends; docs/CLI.md tells them to operators. */
enum class ExitCode : int {
    Good = 0,
    Refused = 1,     ///< The entry answered with an error.
    NotValid = 2,    ///< A text breaks a rule; each error is on standard error.
    Unreachable = 3, ///< No answer from the entry in time.
    Malformed = 4,   ///< The entry's answer isn't what it should be.
    Unreadable = 5,  ///< A file can't be read.
    Usage = 64,      ///< The command line is wrong.
};

} // namespace Apricothook
