#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace Apricothook {

/** Where a request is when the fault comes. */
enum class Step {
    Arriving,        ///< The caller is about to send it.
    Waiting,         ///< In the steward's queue; every slot is taken.
    Reserved,        ///< It has room; the request for the grant is under way.
    HalfGranted,     ///< One of two homes granted it, amid a change of roster.
    Granted,         ///< The home granted it; the reply is under way.
    BeforeFirstByte, ///< The target works on it.
    Streaming,       ///< Half of the answer is at the caller.
    Finishing,       ///< Answered, but the home hasn't heard so; the caller will send it again.
    Answered,        ///< Done; the caller will send it again.
    Confirming,      ///< No target serves it; the home's word for "not run" is under way.
};
constexpr std::size_t Steps = 10;

enum class Fault {
    None,
    EntryDies,
    HomeDies,
    StewardDies,
    EntryRestarts,
    HomeRestarts,
    StewardRestarts,
    EntryPausedPastLease,
    EntryPausedPastPatience,
    EntryPausedAndReplaced,
    HomePausedPastLease,
    HomePausedPastPatience,
    HomePausedAndReplaced,
    StewardPausedPastLease,
    StewardPausedPastPatience,
    StewardPausedAndReplaced,
    TargetUnreachable,
    TargetDies,
    TargetCrashes,
    TargetStraggles,
    TargetRefuses,
    AllTargetsRefuse,
    ConnectionSilent,
    CallerLeaves,
    CallerLeavesAndReturns,
    ResentAtSameEntry,
    ResentAtOtherEntry,
    OtherBodyWithKey,
    MessageLost,
    MessageDoubled,
    MessageLate,
    EntryAndHomeCut,
    EntryAndHomeCutShort,
    EntryAndHomeCutLong,
    EntryAndStewardCut,
    HalvesCutWithHome,
    HalvesCutWithSteward,
    PlatformDown,
    PlatformStale,
    HomeLeavesRoster,
    TargetRemoved,
    TierLowered,
    CustomerRemoved,
    ServiceRemoved,
    TargetVmLeaves,
    BurstOfLowerTier,
    EntryStops,
    HomeStops,
    StewardStops,
    NewSteward,
    RingFullForAWhile,
    RingStaysFull,
    HomeFull,
};

/** What came of the request and, where it wasn't answered, of its key sent again elsewhere. */
enum class Expected {
    NotApplicable,
    AnsweredOnce,        ///< The first call got the whole answer.
    AnsweredAfterNotRun, ///< The same, at another target, after a proven not-run.
    AnsweredByResend,    ///< The first call had not run it; the call after it did.
    AnswerFoundByResend, ///< The first call's run; the call after it got its kept answer.
    StreamTakenOver,     ///< The first call's run; the call after it resumed the stream.
    RefusedNotRun,       ///< Nothing ran, and both calls were told so.
    RefusedUnknown,      ///< It ran, or may have, and nobody knows how it ended.
    RefusedUnknownUnrun, ///< Nothing ran, but nobody could prove it.
    LeftWithoutAnswer,   ///< The caller went; nobody asked again.
};

struct FaultRow
{
    Fault fault = Fault::None;
    /** By step; both for a plain service and a key of the roster. */
    Expected plain[Steps] {};
    /** The same for an engine and a key with its home's ticket. */
    Expected engine[Steps] {};
    /** Why cells aren't applicable; empty where none is. */
    std::string_view reason;
};

/** Two faults at one step, one right after the other. */
struct FaultPair
{
    Step step = Step::Arriving;
    Fault first = Fault::None;
    Fault second = Fault::None;
    Expected plain = Expected::AnsweredOnce;
    Expected engine = Expected::AnsweredOnce;
};

/** Messages on the path of a request. */
enum class MessageKind {
    ReserveRequest,
    ReserveReply,
    GrantRequest,
    GrantReply,
    KeyQuery,
    KeyQueryReply,
    OutcomeReport,
    OutcomeAcknowledged,
    Release,
    InFlightReport,
};
constexpr std::size_t MessageKinds = 10;
enum class MessageFault { LostTwice, Doubled, Late, LateCopy };
constexpr std::size_t MessageFaults = 4;

const std::vector<FaultRow> &faultRows();
const std::vector<FaultPair> &faultPairs();
std::string_view nameOf(MessageKind kind);
std::string_view nameOf(MessageFault fault);

std::string_view nameOf(Step step);
std::string_view nameOf(Fault fault);
std::string_view nameOf(Expected expected);

} // namespace Apricothook
