#include <apricothook/cli/apricothook_entry_commands.hpp>
#include <apricothook/cli/apricothook_http_entry_client.hpp>
#include <apricothook/cli/apricothook_text_commands.hpp>
#include <apricothook/model/apricothook_endpoint.hpp>

#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

using namespace Apricothook;

namespace {

constexpr const char *Commands = R"(Commands:
  check FILE                      check a fleet text
  diff OLD NEW                    tell what releasing NEW after OLD brings about
  lookup --entry IP:PORT          the addresses that a caller would be given
  status --entry IP:PORT          the fleet as that daemon sees it
  explain --entry IP:PORT KEY     what was decided for a request

Exit codes: 0 good, 1 refused by the entry, 2 text not valid, 3 entry unreachable,
4 malformed answer, 5 file unreadable, 64 wrong command line.
)";

cxxopts::Options makeOptions()
{
    cxxopts::Options options("apricothook", "The operators' command line of apricothook.");
    options.custom_help("[OPTIONS]");
    options.positional_help("COMMAND [ARGUMENTS]");
    options.add_options()("entry", "caller address of a daemon", cxxopts::value<std::string>(),
                          "IP:PORT")("json", "print the answer as JSON")("help", "print this help")(
        "version", "print the version")("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("words");
    return options;
}

ExitCode wrongUsage(const std::string &detail)
{
    std::cerr << "wrong-usage: " << detail << "\n" << Commands;
    return ExitCode::Usage;
}

bool isEntryCommand(const std::vector<std::string> &words)
{
    return words == std::vector<std::string> {"lookup"}
    || words == std::vector<std::string> {"status"} || (words.size() == 2 && words[0] == "explain");
}

ExitCode runEntryCommand(const cxxopts::ParseResult &parsed, const std::vector<std::string> &words)
{
    const CommandStreams streams {std::cout, std::cerr};
    const std::optional<Endpoint> entry
        = parsed.count("entry") ? parseEndpoint(parsed["entry"].as<std::string>()) : std::nullopt;
    if (!entry)
        return wrongUsage("--entry IP:PORT is wanted, in numbers");
    const OutputShape shape = parsed.count("json") ? OutputShape::Json : OutputShape::Table;
    HttpEntryClient client(*entry);
    if (words[0] == "lookup")
        return runLookup(client, shape, streams);
    if (words[0] == "status")
        return runStatus(client, shape, streams);
    return runExplain(client, words[1], shape, streams);
}

ExitCode runCommand(const cxxopts::ParseResult &parsed, const std::vector<std::string> &words)
{
    const CommandStreams streams {std::cout, std::cerr};
    if (words.size() == 2 && words[0] == "check")
        return runCheck(words[1], streams);
    if (words.size() == 3 && words[0] == "diff")
        return runDiff(words[1], words[2], streams);
    if (isEntryCommand(words))
        return runEntryCommand(parsed, words);
    return wrongUsage(words.empty() ? "a command is wanted" : "no such command with these words");
}

ExitCode run(int count, char **arguments)
{
    cxxopts::Options options = makeOptions();
    const cxxopts::ParseResult parsed = options.parse(count, arguments);
    if (parsed.count("help")) {
        std::cout << options.help() << "\n" << Commands;
        return ExitCode::Good;
    }
    if (parsed.count("version")) {
        std::cout << "apricothook " << APRICOTHOOK_VERSION << "\n";
        return ExitCode::Good;
    }
    const std::vector<std::string> words = parsed.count("words")
        ? parsed["words"].as<std::vector<std::string>>()
        : std::vector<std::string>();
    return runCommand(parsed, words);
}

} // namespace

int main(int count, char **arguments)
{
    // Entries are addressed directly. A proxy of the operator's shell would answer in their place,
    // and a dead entry would look like one that refuses; both HTTP clients heed this variable.
    setenv("no_proxy", "*", 1);
    try {
        return static_cast<int>(run(count, arguments));
    } catch (const cxxopts::exceptions::exception &failure) {
        return static_cast<int>(wrongUsage(failure.what()));
    }
}
