#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_refusal.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// Messages between daemons. Every message may be lost, doubled, late or out of order: whoever sends
// one that matters sends it again until the reply comes, and whoever receives one is idempotent.
//
// Each struct has `fields(archive, self)`: it names the fields in wire order for the codec in
// packages/peers. A field is only ever appended, so that two versions understand each other.

namespace Apricothook {

// ---- Membership -------------------------------------------------------------------------------

enum class MemberState : std::uint8_t { Alive, Leaving, Suspect, Dead };

/** One member as somebody knows it; a larger incarnation, then a larger state, replaces it. */
struct MemberUpdate
{
    MemberInstance instance;
    MemberState state = MemberState::Alive;
    /** Raised by the member itself to refute a suspicion within the same life. */
    std::uint64_t refutation = 0;
    Endpoint peerAddress;
    Endpoint callerAddress;
    DataCentreId dataCentre;
    RegionId region;
    /** Exchanges in progress, for the spread of lookups. */
    std::uint32_t load = 0;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.instance.member, s.instance.incarnation, s.state, s.refutation, s.peerAddress,
          s.callerAddress, s.dataCentre, s.region, s.load);
    }
    auto operator<=>(const MemberUpdate &) const = default;
};

/** What a daemon has in force; rides on every probe so that news spreads without more messages. */
struct StateDigest
{
    Generation generation;
    std::uint64_t textHash = 0;
    std::uint64_t vmRevision = 0;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.generation, s.textHash, s.vmRevision);
    }
    auto operator<=>(const StateDigest &) const = default;
};

struct Probe
{
    std::uint64_t sequence = 0;
    /** The member that is meant; another life answers with its own update. */
    MemberId subject;
    StateDigest digest;
    std::vector<MemberUpdate> updates;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.sequence, s.subject, s.digest, s.updates);
    }
    auto operator<=>(const Probe &) const = default;
};

struct ProbeReply
{
    std::uint64_t sequence = 0;
    MemberId subject;
    StateDigest digest;
    std::vector<MemberUpdate> updates;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.sequence, s.subject, s.digest, s.updates);
    }
    auto operator<=>(const ProbeReply &) const = default;
};

/** Asks another member to probe the subject, because the direct way may be cut. */
struct IndirectProbe
{
    std::uint64_t sequence = 0;
    MemberUpdate subject;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.sequence, s.subject);
    }
    auto operator<=>(const IndirectProbe &) const = default;
};

/** Asks for, or brings, a part of the member list; used to join and to mend after a split. */
struct MemberListRequest
{
    MemberUpdate self;
    std::uint32_t from = 0;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.self, s.from);
    }
    auto operator<=>(const MemberListRequest &) const = default;
};

struct MemberList
{
    std::uint32_t from = 0;
    std::uint32_t total = 0;
    StateDigest digest;
    std::vector<MemberUpdate> members;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.from, s.total, s.digest, s.members);
    }
    auto operator<=>(const MemberList &) const = default;
};

// ---- Configuration ----------------------------------------------------------------------------

/** Leaving VMs as the platform lists them. */
struct VmList
{
    std::uint64_t revision = 0;
    std::vector<VmId> leaving;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.revision, s.leaving);
    }
    auto operator<=>(const VmList &) const = default;
};

struct VmListRequest
{
    std::uint64_t knownRevision = 0;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.knownRevision);
    }
    auto operator<=>(const VmListRequest &) const = default;
};

/** Asks which generation the receiver has in force; a starting daemon asks before it serves. */
struct DigestRequest
{
    std::uint64_t sequence = 0;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.sequence);
    }
    auto operator<=>(const DigestRequest &) const = default;
};

struct DigestReply
{
    std::uint64_t sequence = 0;
    StateDigest digest;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.sequence, s.digest);
    }
    auto operator<=>(const DigestReply &) const = default;
};

// ---- Homes ------------------------------------------------------------------------------------

/** Names one attempt of one exchange; the same in every resend of its messages. */
struct AttemptId
{
    MemberInstance entry;
    ExchangeId exchange;
    std::uint32_t attempt = 0;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.entry.member, s.entry.incarnation, s.exchange, s.attempt);
    }
    auto operator<=>(const AttemptId &) const = default;
};

/** Asks a key's home for the one grant to dispatch. */
struct GrantRequest
{
    AttemptId attempt;
    RequestKey key;
    CustomerId customer;
    Fingerprint fingerprint;
    TargetId target;
    Generation generation;
    /** True when this entry proved that its attempt before this one did not run. */
    bool closesPrevious = false;
    /** The other homes whose grant this attempt needs too; empty outside a change of roster. */
    std::vector<MemberId> otherHomes {};
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.attempt, s.key, s.customer, s.fingerprint, s.target, s.generation, s.closesPrevious,
          s.otherHomes);
    }
    auto operator<=>(const GrantRequest &) const = default;
};

enum class GrantVerdict : std::uint8_t {
    Granted,
    Running,        ///< Granted before; `holder` has the answer when it comes.
    Finished,       ///< Ran to its end; `holder` keeps the answer for a while.
    OutcomeUnknown, ///< Granted before, and its holder is gone or lost it.
    Conflict,       ///< The key was used with another fingerprint or customer.
    WrongHome,      ///< The receiver isn't the home in the generation that it has in force.
    LostMemory,     ///< The key may be older than this home's life.
    Full,
};

struct GrantReply
{
    AttemptId attempt;
    RequestKey key;
    GrantVerdict verdict = GrantVerdict::Granted;
    MemberInstance holder;
    Generation generation;
    /** Where the granted attempt went, so that its stream can be resumed if the holder is gone. */
    TargetId target;
    /** With WrongHome: the homes as the receiver knows them, all of which must be asked. */
    std::vector<MemberId> homes {};
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.attempt, s.key, s.verdict, s.holder.member, s.holder.incarnation, s.generation,
          s.target, s.homes);
    }
    auto operator<=>(const GrantReply &) const = default;
};

enum class KeyEnd : std::uint8_t {
    Answered, ///< The whole answer was received from the target.
    NotRun,   ///< Proved not to have run; the home may grant the key again.
    Unknown,
};

/** Tells a home how a granted attempt ended. */
struct OutcomeReport
{
    AttemptId attempt;
    RequestKey key;
    KeyEnd end = KeyEnd::Unknown;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.attempt, s.key, s.end);
    }
    auto operator<=>(const OutcomeReport &) const = default;
};

struct OutcomeAcknowledged
{
    AttemptId attempt;
    RequestKey key;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.attempt, s.key);
    }
    auto operator<=>(const OutcomeAcknowledged &) const = default;
};

/** Asks a home what it knows of a key, without asking for a grant. */
struct KeyQuery
{
    std::uint64_t sequence = 0;
    RequestKey key;
    CustomerId customer;
    /** Of the request that asks; 0 where only the key is known. */
    Fingerprint fingerprint;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.sequence, s.key, s.customer, s.fingerprint);
    }
    auto operator<=>(const KeyQuery &) const = default;
};

enum class KeyState : std::uint8_t {
    NotSeen,
    Running,
    Answered,
    NotRun,
    Unknown,
    LostMemory,
    Conflict, ///< The key was used with another fingerprint.
};

struct KeyQueryReply
{
    std::uint64_t sequence = 0;
    RequestKey key;
    KeyState state = KeyState::NotSeen;
    MemberInstance holder;
    /** Where the stream of a run may be resumed whose holder died; empty otherwise. */
    TargetId target;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.sequence, s.key, s.state, s.holder.member, s.holder.incarnation, s.target);
    }
    auto operator<=>(const KeyQueryReply &) const = default;
};

// ---- Stewards ---------------------------------------------------------------------------------

/** A shard: some targets of one service in one region, whose ledger one daemon keeps. */
struct ShardId
{
    ServiceId service;
    RegionId region;
    std::uint32_t index = 0;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.service, s.region, s.index);
    }
    auto operator<=>(const ShardId &) const = default;
};

/** Asks a steward for room on one of its targets; waits there in the queue until it is answered. */
struct ReserveRequest
{
    AttemptId attempt;
    ShardId shard;
    Tier tier;
    CustomerId customer;
    ModelId model;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    /** Patience left when the message was sent. */
    Duration patienceLeft {};
    /** Hashes of the prompt's blocks from its start; at most MaximumPrefixes. */
    std::vector<PrefixHash> prefixes;
    /** Targets that must not be used, such as those that this request crashed. */
    std::vector<TargetId> excluded;
    /** True when no other shard is left to turn to: the steward may shed only then. */
    bool isLastResort = false;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.attempt, s.shard, s.tier, s.customer, s.model, s.promptTokens, s.outputTokens,
          s.patienceLeft, s.prefixes, s.excluded, s.isLastResort);
    }
    auto operator<=>(const ReserveRequest &) const = default;
};

constexpr std::size_t MaximumPrefixes = 16;

enum class ReserveVerdict : std::uint8_t {
    Reserved,
    Queued,           ///< Waits at the steward; a later reply follows.
    Shed,             ///< Refused under the shedding rule; lower tiers are shut.
    Elsewhere,        ///< Full here; another shard may have room.
    PatienceTooShort, ///< Can't finish in time on any target of the shard, even when idle.
    NoTarget,
    NotSteward, ///< The receiver doesn't hold this shard as it sees the members.
    /** Waited until no target could finish in time any more; lower tiers may still be served. */
    PatienceOver,
};

struct ReserveReply
{
    AttemptId attempt;
    ShardId shard;
    ReserveVerdict verdict = ReserveVerdict::Reserved;
    TargetId target;
    /** The reservation lapses this long after the reply was sent unless it is renewed. */
    Duration lease {};
    /** Predicted time until the first token, and until the end. */
    Duration predictedFirstToken {};
    Duration predictedEnd {};
    /** When to come back, for refusals. */
    Duration retryAfter {};
    /** Prompt tokens believed to be cached at the target. */
    std::uint32_t cachedTokens = 0;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.attempt, s.shard, s.verdict, s.target, s.lease, s.predictedFirstToken, s.predictedEnd,
          s.retryAfter, s.cachedTokens);
    }
    auto operator<=>(const ReserveReply &) const = default;
};

/** Takes back a request that still waits, or a reservation that wasn't used. */
struct ReserveCancel
{
    AttemptId attempt;
    ShardId shard;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.attempt, s.shard);
    }
    auto operator<=>(const ReserveCancel &) const = default;
};

enum class RunEnd : std::uint8_t {
    Answered,
    Refused, ///< The target proved that it did not run.
    ConnectFailed,
    Crashed, ///< The connection broke before the answer was whole.
    Cancelled,
    TimedOut,
};

/** Ends a reservation and teaches the steward how the target did. */
struct Release
{
    AttemptId attempt;
    ShardId shard;
    TargetId target;
    RunEnd end = RunEnd::Answered;
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t outputTokens = 0;
    /** From the request's last byte sent until the first byte of the answer. */
    Duration firstByte {};
    /** From the first byte until the last one. */
    Duration streaming {};
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.attempt, s.shard, s.target, s.end, s.promptTokens, s.cachedTokens, s.outputTokens,
          s.firstByte, s.streaming);
    }
    auto operator<=>(const Release &) const = default;
};

/** One running request, as its entry reports it. */
struct InFlight
{
    AttemptId attempt;
    TargetId target;
    Tier tier;
    CustomerId customer;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    Duration age {};
    std::vector<PrefixHash> prefixes;
    ModelId model;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.attempt, s.target, s.tier, s.customer, s.promptTokens, s.outputTokens, s.age,
          s.prefixes, s.model);
    }
    auto operator<=>(const InFlight &) const = default;
};

/** What an entry has running on a shard: renews the reservations, and fills a new ledger. */
struct InFlightReport
{
    MemberInstance entry;
    ShardId shard;
    std::vector<InFlight> running;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.entry.member, s.entry.incarnation, s.shard, s.running);
    }
    auto operator<=>(const InFlightReport &) const = default;
};

/** Summary of a shard, for the choice between shards; rides to whoever asked the steward lately. */
struct ShardSummary
{
    ShardId shard;
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0;
    /** Predicted wait for a new request of the lowest tier. */
    Duration wait {};
    Tier floor {LowestTierRank};
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.shard, s.freeSlots, s.queued, s.wait, s.floor);
    }
    auto operator<=>(const ShardSummary &) const = default;
};

// ---- Floors -----------------------------------------------------------------------------------

/** Shuts the tiers below `floor` at every steward of a service before a tier is shed. */
struct FloorRaise
{
    ServiceId service;
    /** The lowest tier that is still admitted. */
    Tier floor;
    /** Number of the raise at its sender, for the acknowledgement. */
    std::uint64_t sequence = 0;
    /** The raise holds this long unless it is sent again. */
    Duration lease {};
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.service, s.floor, s.sequence, s.lease);
    }
    auto operator<=>(const FloorRaise &) const = default;
};

struct FloorAcknowledged
{
    ServiceId service;
    Tier floor;
    std::uint64_t sequence = 0;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.service, s.floor, s.sequence);
    }
    auto operator<=>(const FloorAcknowledged &) const = default;
};

// ---- Suspects and limits ----------------------------------------------------------------------

/** A request that crashed targets. */
struct SuspectNotice
{
    Fingerprint fingerprint;
    std::vector<TargetId> crashed;
    bool isQuarantined = false;
    Duration remaining {};
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.fingerprint, s.crashed, s.isQuarantined, s.remaining);
    }
    auto operator<=>(const SuspectNotice &) const = default;
};

/** A customer's demand at one entry; the customer's limiter answers with the entry's share. */
struct LimitDemand
{
    CustomerId customer;
    /** Requests seen since the last demand. */
    std::uint32_t arrived = 0;
    Duration over {};
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.customer, s.arrived, s.over);
    }
    auto operator<=>(const LimitDemand &) const = default;
};

struct LimitShare
{
    CustomerId customer;
    double requestsPerSecond = 0;
    Duration lease {};
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.customer, s.requestsPerSecond, s.lease);
    }
    auto operator<=>(const LimitShare &) const = default;
};

// ---- Hints of runs ----------------------------------------------------------------------------

/**
 * Where an engine works on a key that a caller chose. The entry that dispatched it tells a witness
 * in another data centre, so that the stream can be found when the entry dies and the home with it.
 */
struct RunHint
{
    RequestKey key;
    Fingerprint fingerprint;
    TargetId target;
    /** How long the hint is of use. */
    Duration remaining {};
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.key, s.fingerprint, s.target, s.remaining);
    }
    auto operator<=>(const RunHint &) const = default;
};

/** Asks a possible witness where a key's run went. */
struct HintQuery
{
    std::uint64_t sequence = 0;
    RequestKey key;
    Fingerprint fingerprint;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.sequence, s.key, s.fingerprint);
    }
    auto operator<=>(const HintQuery &) const = default;
};

/** An empty target: the witness knows of no such run. */
struct HintReply
{
    std::uint64_t sequence = 0;
    RequestKey key;
    TargetId target;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.sequence, s.key, s.target);
    }
    auto operator<=>(const HintReply &) const = default;
};

/** Kinds are numbered on the wire by their place: append only. */
using PeerMessage
    = std::variant<Probe, ProbeReply, IndirectProbe, MemberListRequest, MemberList, VmList,
                   VmListRequest, DigestRequest, DigestReply, GrantRequest, GrantReply,
                   OutcomeReport, OutcomeAcknowledged, KeyQuery, KeyQueryReply, ReserveRequest,
                   ReserveReply, ReserveCancel, Release, InFlightReport, ShardSummary, FloorRaise,
                   FloorAcknowledged, SuspectNotice, LimitDemand, LimitShare, RunHint, HintQuery,
                   HintReply>;

/** A message on its way to a member. */
struct OutgoingMessage
{
    MemberId to;
    PeerMessage message;
    auto operator<=>(const OutgoingMessage &) const = default;
};

using Outbox = std::vector<OutgoingMessage>;

} // namespace Apricothook
