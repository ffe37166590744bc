#include <apricothook_fault_changes.hpp>

namespace Apricothook {

namespace {

constexpr ChangeEnd All = ChangeEnd::Everywhere;
constexpr ChangeEnd Old = ChangeEnd::Holds;

} // namespace

const std::vector<ChangeRow> &changeRows()
{
    static const std::vector<ChangeRow> rows = {
        {ChangeFault::None, {All, All, All, All, All}},
        {ChangeFault::PlatformDown, {Old, All, All, All, All}},
        {ChangeFault::PlatformStale, {Old, All, All, All, All}},
        {ChangeFault::ReaderDies, {All, All, All, All, All}},
        {ChangeFault::ReaderRestarts, {All, All, All, All, All}},
        {ChangeFault::ReaderStops, {All, All, All, All, All}},
        {ChangeFault::ReaderPaused, {All, All, All, All, All}},
        {ChangeFault::OtherRestarts, {All, All, All, All, All}},
        {ChangeFault::OtherPaused, {All, All, All, All, All}},
        {ChangeFault::DaemonJoins, {All, All, All, All, All}},
        {ChangeFault::DaemonJoinsPlatformStale, {Old, All, All, All, All}},
        {ChangeFault::NoticesLost, {All, All, All, All, All}},
        {ChangeFault::NoticesDoubled, {All, All, All, All, All}},
        {ChangeFault::HalvesCut, {All, All, All, All, All}},
        {ChangeFault::NextChange, {All, All, All, All, All}},
        {ChangeFault::NextChangePlatformStale, {Old, All, All, All, All}},
    };
    return rows;
}

std::string_view nameOf(ChangeStep step)
{
    static constexpr std::string_view Names[ChangeSteps]
        = {"published", "in force at one", "others fetch it", "in force at half", "in force"};
    return Names[static_cast<std::size_t>(step)];
}

std::string_view nameOf(ChangeFault fault)
{
    static constexpr std::string_view Names[ChangeFaults]
        = {"none",
           "platform down",
           "platform stale",
           "reader dies",
           "reader restarts",
           "reader is stopped",
           "reader paused for 5 s",
           "another restarts",
           "another paused for 5 s",
           "a daemon joins",
           "a daemon joins, platform stale",
           "10 notices lost",
           "notices and probes doubled",
           "fleet in halves for 5 s",
           "the next change comes",
           "the next change comes, platform stale"};
    return Names[static_cast<std::size_t>(fault)];
}

std::string_view nameOf(ChangeEnd end)
{
    return end == ChangeEnd::Everywhere ? "everywhere" : "the old one holds";
}

} // namespace Apricothook
