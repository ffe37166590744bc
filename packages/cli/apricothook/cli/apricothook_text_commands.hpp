#pragma once

#include <apricothook/cli/apricothook_exit_code.hpp>

#include <iosfwd>
#include <string>

namespace Apricothook {

/** Where a command writes. */
struct CommandStreams
{
    std::ostream &out;
    std::ostream &errors;
};

/** `apricothook check FILE`: tells every error in a fleet text. */
ExitCode runCheck(const std::string &file, CommandStreams streams);

/** `apricothook diff OLD NEW`: tells what releasing NEW after OLD brings about. */
ExitCode runDiff(const std::string &oldFile, const std::string &newFile, CommandStreams streams);

} // namespace Apricothook
