#include <apricothook_fault_matrix.hpp>

namespace Apricothook {

namespace {

constexpr Expected Once = Expected::AnsweredOnce;
constexpr Expected AfterNotRun = Expected::AnsweredAfterNotRun;
constexpr Expected ByResend = Expected::AnsweredByResend;
constexpr Expected Found = Expected::AnswerFoundByResend;
constexpr Expected TakenOver = Expected::StreamTakenOver;
constexpr Expected NotRun = Expected::RefusedNotRun;
constexpr Expected Unknown = Expected::RefusedUnknown;
constexpr Expected Unproven = Expected::RefusedUnknownUnrun;

} // namespace

// The step, the faults, and the ends for a plain service and for an engine.
const std::vector<FaultPair> &faultPairs()
{
    static const std::vector<FaultPair> pairs = {
        {Step::Reserved, Fault::EntryDies, Fault::HomeDies, Unproven, Unproven},
        {Step::Reserved, Fault::EntryDies, Fault::HomeRestarts, Unproven, Unproven},
        {Step::Reserved, Fault::EntryDies, Fault::StewardDies, Unproven, Unproven},
        {Step::Reserved, Fault::EntryRestarts, Fault::ResentAtSameEntry, Unproven, Unproven},
        {Step::Reserved, Fault::HomeRestarts, Fault::ResentAtOtherEntry, Unproven, Unproven},
        {Step::Reserved, Fault::HomeDies, Fault::StewardDies, Unproven, Unproven},
        {Step::Reserved, Fault::HalvesCutWithHome, Fault::ResentAtOtherEntry, Once, Once},
        {Step::Reserved, Fault::HalvesCutWithSteward, Fault::ResentAtOtherEntry, ByResend,
         ByResend},
        {Step::Reserved, Fault::EntryAndHomeCut, Fault::ResentAtOtherEntry, ByResend, ByResend},
        {Step::Reserved, Fault::EntryPausedPastLease, Fault::HomeRestarts, Once, Once},
        {Step::Reserved, Fault::EntryPausedPastLease, Fault::TargetVmLeaves, Once, Once},
        {Step::Reserved, Fault::EntryPausedAndReplaced, Fault::HomeRestarts, Unproven, Unproven},
        {Step::Reserved, Fault::HomeLeavesRoster, Fault::ResentAtOtherEntry, Once, Once},
        {Step::Reserved, Fault::HomeLeavesRoster, Fault::HomeDies, Unproven, Unproven},
        {Step::Reserved, Fault::TargetDies, Fault::EntryRestarts, Unproven, Unproven},
        {Step::Reserved, Fault::TargetDies, Fault::ResentAtOtherEntry, AfterNotRun, AfterNotRun},
        {Step::Reserved, Fault::CallerLeaves, Fault::ResentAtOtherEntry, ByResend, ByResend},
        {Step::Reserved, Fault::StewardRestarts, Fault::EntryStops, Once, Once},
        {Step::Granted, Fault::EntryDies, Fault::HomeDies, Unproven, Unproven},
        {Step::Granted, Fault::EntryDies, Fault::HomeRestarts, Unproven, Unproven},
        {Step::Granted, Fault::EntryDies, Fault::StewardDies, Unproven, Unproven},
        {Step::Granted, Fault::EntryRestarts, Fault::ResentAtSameEntry, Unproven, Unproven},
        {Step::Granted, Fault::HomeRestarts, Fault::ResentAtOtherEntry, Once, Once},
        {Step::Granted, Fault::HomeDies, Fault::StewardDies, Once, Once},
        {Step::Granted, Fault::HalvesCutWithHome, Fault::ResentAtOtherEntry, Once, Once},
        {Step::Granted, Fault::HalvesCutWithSteward, Fault::ResentAtOtherEntry, Unproven, Unproven},
        {Step::Granted, Fault::EntryAndHomeCut, Fault::ResentAtOtherEntry, Unproven, Unproven},
        {Step::Granted, Fault::EntryPausedPastLease, Fault::HomeRestarts, Once, Once},
        {Step::Granted, Fault::EntryPausedPastLease, Fault::TargetVmLeaves, Once, Once},
        {Step::Granted, Fault::EntryPausedAndReplaced, Fault::HomeRestarts, Unproven, Unproven},
        {Step::Granted, Fault::HomeLeavesRoster, Fault::ResentAtOtherEntry, Once, Once},
        {Step::Granted, Fault::HomeLeavesRoster, Fault::HomeDies, Once, Once},
        {Step::Granted, Fault::TargetDies, Fault::EntryRestarts, Unproven, Unproven},
        {Step::Granted, Fault::TargetDies, Fault::ResentAtOtherEntry, AfterNotRun, AfterNotRun},
        {Step::Granted, Fault::CallerLeaves, Fault::ResentAtOtherEntry, ByResend, ByResend},
        {Step::Granted, Fault::StewardRestarts, Fault::EntryStops, Once, Once},
        {Step::BeforeFirstByte, Fault::EntryDies, Fault::HomeDies, Unknown, Unknown},
        {Step::BeforeFirstByte, Fault::EntryDies, Fault::HomeRestarts, Unknown, Unknown},
        {Step::BeforeFirstByte, Fault::EntryDies, Fault::StewardDies, Unknown, TakenOver},
        {Step::BeforeFirstByte, Fault::EntryRestarts, Fault::ResentAtSameEntry, Unknown, TakenOver},
        {Step::BeforeFirstByte, Fault::HomeRestarts, Fault::ResentAtOtherEntry, Once, Once},
        {Step::BeforeFirstByte, Fault::HomeDies, Fault::StewardDies, Once, Once},
        {Step::BeforeFirstByte, Fault::HalvesCutWithHome, Fault::ResentAtOtherEntry, Once, Once},
        {Step::BeforeFirstByte, Fault::HalvesCutWithSteward, Fault::ResentAtOtherEntry, Once, Once},
        {Step::BeforeFirstByte, Fault::EntryAndHomeCut, Fault::ResentAtOtherEntry, Once, Once},
        {Step::BeforeFirstByte, Fault::EntryPausedPastLease, Fault::HomeRestarts, Once, Once},
        {Step::BeforeFirstByte, Fault::EntryPausedPastLease, Fault::TargetVmLeaves, Once, Once},
        {Step::BeforeFirstByte, Fault::EntryPausedAndReplaced, Fault::HomeRestarts, Once, Once},
        {Step::BeforeFirstByte, Fault::HomeLeavesRoster, Fault::ResentAtOtherEntry, Once, Once},
        {Step::BeforeFirstByte, Fault::HomeLeavesRoster, Fault::HomeDies, Once, Once},
        {Step::BeforeFirstByte, Fault::TargetDies, Fault::EntryRestarts, Unknown, Unknown},
        {Step::BeforeFirstByte, Fault::TargetDies, Fault::ResentAtOtherEntry, Unknown, Unknown},
        {Step::BeforeFirstByte, Fault::CallerLeaves, Fault::ResentAtOtherEntry, Found, Found},
        {Step::BeforeFirstByte, Fault::StewardRestarts, Fault::EntryStops, Once, Once},
        {Step::Streaming, Fault::EntryDies, Fault::HomeDies, Unknown, Unknown},
        {Step::Streaming, Fault::EntryDies, Fault::HomeRestarts, Unknown, Unknown},
        {Step::Streaming, Fault::EntryDies, Fault::StewardDies, Unknown, TakenOver},
        {Step::Streaming, Fault::EntryRestarts, Fault::ResentAtSameEntry, Unknown, TakenOver},
        {Step::Streaming, Fault::HomeRestarts, Fault::ResentAtOtherEntry, Once, Once},
        {Step::Streaming, Fault::HomeDies, Fault::StewardDies, Once, Once},
        {Step::Streaming, Fault::HalvesCutWithHome, Fault::ResentAtOtherEntry, Once, Once},
        {Step::Streaming, Fault::HalvesCutWithSteward, Fault::ResentAtOtherEntry, Once, Once},
        {Step::Streaming, Fault::EntryAndHomeCut, Fault::ResentAtOtherEntry, Once, Once},
        {Step::Streaming, Fault::EntryPausedPastLease, Fault::HomeRestarts, Once, Once},
        {Step::Streaming, Fault::EntryPausedPastLease, Fault::TargetVmLeaves, Once, Once},
        {Step::Streaming, Fault::EntryPausedAndReplaced, Fault::HomeRestarts, Once, Once},
        {Step::Streaming, Fault::HomeLeavesRoster, Fault::ResentAtOtherEntry, Once, Once},
        {Step::Streaming, Fault::HomeLeavesRoster, Fault::HomeDies, Once, Once},
        {Step::Streaming, Fault::TargetDies, Fault::EntryRestarts, Unknown, Unknown},
        {Step::Streaming, Fault::TargetDies, Fault::ResentAtOtherEntry, Unknown, Unknown},
        {Step::Streaming, Fault::CallerLeaves, Fault::ResentAtOtherEntry, Found, Found},
        {Step::Streaming, Fault::StewardRestarts, Fault::EntryStops, Once, Once},
        {Step::Finishing, Fault::EntryDies, Fault::HomeDies, Unknown, Unknown},
        {Step::Finishing, Fault::EntryDies, Fault::HomeRestarts, Unknown, Unknown},
        {Step::Finishing, Fault::EntryDies, Fault::StewardDies, Unknown, TakenOver},
        {Step::Finishing, Fault::EntryRestarts, Fault::ResentAtSameEntry, Unknown, TakenOver},
        {Step::Finishing, Fault::HomeRestarts, Fault::ResentAtOtherEntry, Unknown, TakenOver},
        {Step::Finishing, Fault::HomeDies, Fault::StewardDies, Unknown, Unknown},
        {Step::Finishing, Fault::HalvesCutWithHome, Fault::ResentAtOtherEntry, Unknown, Unknown},
        {Step::Finishing, Fault::HalvesCutWithSteward, Fault::ResentAtOtherEntry, Unknown,
         TakenOver},
        {Step::Finishing, Fault::EntryAndHomeCut, Fault::ResentAtOtherEntry, Unknown, Unknown},
        {Step::Finishing, Fault::EntryPausedPastLease, Fault::HomeRestarts, Unknown, TakenOver},
        {Step::Finishing, Fault::EntryPausedPastLease, Fault::TargetVmLeaves, Found, Found},
        {Step::Finishing, Fault::EntryPausedAndReplaced, Fault::HomeRestarts, Unknown, Unknown},
        {Step::Finishing, Fault::HomeLeavesRoster, Fault::ResentAtOtherEntry, Found, Found},
        {Step::Finishing, Fault::HomeLeavesRoster, Fault::HomeDies, Unknown, Unknown},
        {Step::Finishing, Fault::StewardRestarts, Fault::EntryStops, Found, Found},
        {Step::Reserved, Fault::TargetRefuses, Fault::HomeDies, Unproven, Unproven},
        {Step::Granted, Fault::TargetRefuses, Fault::HomeDies, Unproven, Unproven},
        {Step::Reserved, Fault::TargetRefuses, Fault::StewardDies, AfterNotRun, AfterNotRun},
        {Step::Granted, Fault::TargetRefuses, Fault::StewardDies, AfterNotRun, AfterNotRun},
        {Step::Reserved, Fault::TargetRefuses, Fault::EntryDies, Unproven, Unproven},
        {Step::Granted, Fault::TargetRefuses, Fault::EntryDies, Unproven, Unproven},
        {Step::Reserved, Fault::TargetRefuses, Fault::MessageLate, AfterNotRun, AfterNotRun},
        {Step::Granted, Fault::TargetRefuses, Fault::MessageLate, AfterNotRun, AfterNotRun},
        {Step::Reserved, Fault::AllTargetsRefuse, Fault::MessageDoubled, NotRun, NotRun},
        {Step::Granted, Fault::AllTargetsRefuse, Fault::MessageDoubled, NotRun, NotRun},
        {Step::Reserved, Fault::TargetRefuses, Fault::HomeRestarts, Unproven, Unproven},
        {Step::Granted, Fault::TargetRefuses, Fault::HomeRestarts, Unproven, Unproven},
        {Step::Reserved, Fault::TargetRefuses, Fault::ResentAtOtherEntry, AfterNotRun, AfterNotRun},
        {Step::Granted, Fault::TargetRefuses, Fault::ResentAtOtherEntry, AfterNotRun, AfterNotRun},
        {Step::Reserved, Fault::AllTargetsRefuse, Fault::ResentAtOtherEntry, NotRun, NotRun},
        {Step::Granted, Fault::AllTargetsRefuse, Fault::ResentAtOtherEntry, NotRun, NotRun},
    };
    return pairs;
}

} // namespace Apricothook
