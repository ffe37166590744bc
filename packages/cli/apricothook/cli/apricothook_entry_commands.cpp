#include <apricothook/cli/apricothook_entry_commands.hpp>

#include <apricothook/cli/apricothook_answer_table.hpp>
#include <apricothook/cli/apricothook_entry_client.hpp>
#include <apricothook/text/apricothook_printable.hpp>

#include <json/writer.h>

#include <ostream>

namespace Apricothook {

namespace {

constexpr std::size_t MaximumDetailBytes = 400;

ExitCode exitCodeOf(EntryFailureKind kind)
{
    switch (kind) {
    case EntryFailureKind::Unreachable:
        return ExitCode::Unreachable;
    case EntryFailureKind::Refused:
        return ExitCode::Refused;
    case EntryFailureKind::Malformed:
        return ExitCode::Malformed;
    }
    return ExitCode::Malformed;
}

ExitCode show(const EntryAnswer &answer, OutputShape shape, CommandStreams streams)
{
    if (!answer) {
        streams.errors << nameOf(answer.error().kind) << ": "
                       << printable(answer.error().detail, MaximumDetailBytes) << '\n';
        return exitCodeOf(answer.error().kind);
    }
    if (shape == OutputShape::Json)
        streams.out << Json::writeString(Json::StreamWriterBuilder(), answer.value()) << '\n';
    else
        printAnswer(streams.out, answer.value());
    return ExitCode::Good;
}

} // namespace

ExitCode runLookup(EntryClient &client, OutputShape shape, CommandStreams streams)
{
    return show(client.entries(), shape, streams);
}

ExitCode runStatus(EntryClient &client, OutputShape shape, CommandStreams streams)
{
    return show(client.status(), shape, streams);
}

ExitCode runExplain(EntryClient &client, const std::string &key, OutputShape shape,
                    CommandStreams streams)
{
    return show(client.explain(key), shape, streams);
}

} // namespace Apricothook
