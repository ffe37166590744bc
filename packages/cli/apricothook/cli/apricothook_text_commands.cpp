#include <apricothook/cli/apricothook_text_commands.hpp>

#include <apricothook/text/apricothook_fleet_text_parser.hpp>
#include <apricothook/text/apricothook_text_difference.hpp>
#include <apricothook/text/apricothook_text_file.hpp>

#include <ostream>
#include <vector>

namespace Apricothook {

namespace {

/** Reads and checks a file; tells what is wrong with it. */
Result<FleetText, ExitCode> readFleetFile(const std::string &file, CommandStreams streams)
{
    const Result<std::string, TextFileFailure> content = readTextFile(file);
    if (!content) {
        streams.errors << file << ": " << nameOf(content.error()) << '\n';
        return ExitCode::Unreadable;
    }
    Result<FleetText, std::vector<TextError>> text = parseFleetText(content.value());
    if (!text) {
        printTextErrors(streams.errors, file, text.error());
        return ExitCode::NotValid;
    }
    return std::move(text.value());
}

void printSummary(std::ostream &out, const DifferenceSummary &summary)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(summary.leastLoadTime);
    out << summary.changes << " changes; " << summary.targetsToDrain << " targets to drain; "
        << summary.loads << " loads";
    if (summary.loads != 0)
        out << " of " << summary.loadBytes << " bytes, at least " << seconds.count()
            << " s at the weight store's rate";
    out << '\n';
}

} // namespace

ExitCode runCheck(const std::string &file, CommandStreams streams)
{
    const Result<FleetText, ExitCode> text = readFleetFile(file, streams);
    if (!text)
        return text.error();
    streams.out << file << ": valid: " << text.value().roster.size() << " daemons, "
                << text.value().targets.size() << " targets, " << text.value().customers.size()
                << " customers, " << text.value().classes.size() << " classes\n";
    return ExitCode::Good;
}

ExitCode runDiff(const std::string &oldFile, const std::string &newFile, CommandStreams streams)
{
    const Result<FleetText, ExitCode> before = readFleetFile(oldFile, streams);
    const Result<FleetText, ExitCode> after = readFleetFile(newFile, streams);
    if (!before)
        return before.error();
    if (!after)
        return after.error();
    const std::vector<TextChange> changes = differenceOf(before.value(), after.value());
    for (const TextChange &change : changes)
        streams.out << describe(change) << '\n';
    printSummary(streams.out, summaryOf(changes, after.value().policy));
    return ExitCode::Good;
}

} // namespace Apricothook
