#pragma once

#include <apricothook/cli/apricothook_exit_code.hpp>
#include <apricothook/cli/apricothook_text_commands.hpp>

#include <string>

namespace Apricothook {

class EntryClient;

enum class OutputShape { Table, Json };

/** `apricothook lookup`: the addresses that a caller would be given. */
ExitCode runLookup(EntryClient &client, OutputShape shape, CommandStreams streams);

/** `apricothook status`: the generation in force at each member, members, targets and floors. */
ExitCode runStatus(EntryClient &client, OutputShape shape, CommandStreams streams);

/** `apricothook explain KEY`: what was decided for a request. */
ExitCode runExplain(EntryClient &client, const std::string &key, OutputShape shape,
                    CommandStreams streams);

} // namespace Apricothook
