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

// Messages between daemons. Messages may be lost, duplicated, delayed or reordered. Senders resend
// messages that need a reply until it is received; receivers process all messages idempotently.
//
// `fields(archive, self)` of each struct lists its fields in wire order for the codec in
// packages/peers. New fields must be appended, so that different versions stay compatible.

namespace Apricothook {

// ---- Membership -------------------------------------------------------------------------------

enum class MemberState : std::uint8_t { Alive, Leaving, Suspect, Dead };

/** A member as known to the sender; a larger incarnation, then a larger state, supersedes it. */
struct MemberUpdate
{
    MemberInstance instance;
    MemberState state = MemberState::Alive;
    /** Incremented by the member to refute a suspicion of its current incarnation. */
    std::uint64_t refutation = 0;
    Endpoint peerAddress;
    Endpoint callerAddress;
    DataCentreId dataCentre;
    RegionId region;
    /** Number of exchanges in progress, for balancing lookups. */
    std::uint32_t load = 0;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.instance.member, s.instance.incarnation, s.state, s.refutation, s.peerAddress,
          s.callerAddress, s.dataCentre, s.region, s.load);
    }
    auto operator<=>(const MemberUpdate &) const = default;
};

/** Revisions that a daemon has applied; piggybacked on every probe to disseminate changes. */
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
    /** The probed member; a different incarnation of it answers with its own update. */
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

/** Asks another member to probe the subject, in case only the direct path fails. */
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

/** Requests a part of the member list, to join and to merge after a partition. */
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

/** The platform's list of leaving VMs. */
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

/** Asks which generation the receiver has applied. Sent by a starting daemon before it serves. */
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

/** Identifies an attempt of an exchange; equal in all resends of its messages. */
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

/** Requests the single grant to dispatch a key from the key's home. */
struct GrantRequest
{
    AttemptId attempt;
    RequestKey key;
    CustomerId customer;
    Fingerprint fingerprint;
    TargetId target;
    Generation generation;
    /** Whether this entry has proof that its previous attempt did not run. */
    bool closesPrevious = false;
    /** Further homes whose grant the attempt needs; empty unless the roster is changing. */
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
    Running,        ///< Granted before; `holder` will have the answer.
    Finished,       ///< Completed; `holder` keeps the answer for a limited time.
    OutcomeUnknown, ///< Granted before; its holder is gone or has lost the outcome.
    Conflict,       ///< The key was used with a different fingerprint or customer.
    WrongHome,      ///< The receiver isn't the home in the generation that it has applied.
    LostMemory,     ///< The key may be older than the current process of this home.
    Full,
};

struct GrantReply
{
    AttemptId attempt;
    RequestKey key;
    GrantVerdict verdict = GrantVerdict::Granted;
    MemberInstance holder;
    Generation generation;
    /** Target of the granted attempt, for resuming its stream if the holder is gone. */
    TargetId target;
    /** With WrongHome: the homes in the receiver's view, all of which must be asked. */
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
    Answered, ///< The complete answer was received from the target.
    NotRun,   ///< Proven not to have run; the home may grant the key again.
    Unknown,
};

/** Reports the outcome of a granted attempt to the home. */
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

/** Queries a key's state at its home without requesting a grant. */
struct KeyQuery
{
    std::uint64_t sequence = 0;
    RequestKey key;
    CustomerId customer;
    /** Fingerprint of the asking request; 0 if only the key is known. */
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
    Conflict, ///< The key was used with a different fingerprint.
};

struct KeyQueryReply
{
    std::uint64_t sequence = 0;
    RequestKey key;
    KeyState state = KeyState::NotSeen;
    MemberInstance holder;
    /** Target from which the stream can be resumed if its holder has died; else empty. */
    TargetId target;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.sequence, s.key, s.state, s.holder.member, s.holder.incarnation, s.target);
    }
    auto operator<=>(const KeyQueryReply &) const = default;
};

// ---- Stewards ---------------------------------------------------------------------------------

/** A shard: a subset of a service's targets in a region, whose ledger one daemon keeps. */
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

/** Requests a slot on a target of a steward's shard; queued there until it is answered. */
struct ReserveRequest
{
    AttemptId attempt;
    ShardId shard;
    Tier tier;
    CustomerId customer;
    ModelId model;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    /** Remaining patience when the message was sent. */
    Duration patienceLeft {};
    /** Hashes of the prompt's leading blocks; at most MaximumPrefixes. */
    std::vector<PrefixHash> prefixes;
    /** Targets that must not be used, such as those that the request has crashed. */
    std::vector<TargetId> excluded;
    /** Whether no other shard is left to try. The steward may shed the request only then. */
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
    Queued,           ///< Queued at the steward; a further reply follows.
    Shed,             ///< Refused by the shedding rule; lower tiers are closed.
    Elsewhere,        ///< This shard is full; another one may have capacity.
    PatienceTooShort, ///< Can't finish in time on any target of the shard, even an idle one.
    NoTarget,
    NotSteward, ///< The receiver isn't the steward of this shard in its member view.
    /** Queued until no target could finish in time; lower tiers may still be served. */
    PatienceOver,
};

struct ReserveReply
{
    AttemptId attempt;
    ShardId shard;
    ReserveVerdict verdict = ReserveVerdict::Reserved;
    TargetId target;
    /** Lease of the reservation, from the sending of the reply; it expires unless renewed. */
    Duration lease {};
    /** Predicted times until the first token and until the end of the answer. */
    Duration predictedFirstToken {};
    Duration predictedEnd {};
    /** Delay before a retry, for refusals. */
    Duration retryAfter {};
    /** Estimated prompt tokens in the target's cache. */
    std::uint32_t cachedTokens = 0;
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.attempt, s.shard, s.verdict, s.target, s.lease, s.predictedFirstToken, s.predictedEnd,
          s.retryAfter, s.cachedTokens);
    }
    auto operator<=>(const ReserveReply &) const = default;
};

/** Cancels a queued request or an unused reservation. */
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
    Refused, ///< The target reported that the request did not run.
    ConnectFailed,
    Crashed, ///< The connection broke before the answer was complete.
    Cancelled,
    TimedOut,
};

/** Ends a reservation and reports the target's performance to the steward. */
struct Release
{
    AttemptId attempt;
    ShardId shard;
    TargetId target;
    RunEnd end = RunEnd::Answered;
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t outputTokens = 0;
    /** From the last byte sent of the request to the first byte of the answer. */
    Duration firstByte {};
    /** From the first byte of the answer to the last one. */
    Duration streaming {};
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.attempt, s.shard, s.target, s.end, s.promptTokens, s.cachedTokens, s.outputTokens,
          s.firstByte, s.streaming);
    }
    auto operator<=>(const Release &) const = default;
};

/** A running request as reported by its entry. */
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

/** An entry's running requests on a shard. Renews reservations and rebuilds a new ledger. */
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

/** Load of a shard, for choosing between shards. Sent to entries that recently used it. */
struct ShardSummary
{
    ShardId shard;
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0;
    /** Predicted queueing time of a new request of the lowest tier. */
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

/** Closes the tiers below `floor` at all stewards of a service before a tier is shed. */
struct FloorRaise
{
    ServiceId service;
    /** The lowest admitted tier. */
    Tier floor;
    /** Sequence number at the sender, matched by the acknowledgement. */
    std::uint64_t sequence = 0;
    /** Duration of the raise unless it is renewed. */
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

/** A request that has crashed targets. */
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

/** A customer's demand at an entry. The customer's limiter replies with the entry's share. */
struct LimitDemand
{
    CustomerId customer;
    /** Requests received since the last demand. */
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
 * The target that runs a request with a caller-supplied key. The dispatching entry sends it to a
 * witness in another data centre, so that the stream can be found if both entry and home die.
 */
struct RunHint
{
    RequestKey key;
    Fingerprint fingerprint;
    TargetId target;
    /** Remaining validity of the hint. */
    Duration remaining {};
    template <typename A, typename S>
    static void fields(A &a, S &s)
    {
        a(s.key, s.fingerprint, s.target, s.remaining);
    }
    auto operator<=>(const RunHint &) const = default;
};

/** Asks a possible witness for the target that runs a key. */
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

/** `target` is empty if the witness knows no such run. */
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

/** The index of an alternative is its number on the wire: append only. */
using PeerMessage
    = std::variant<Probe, ProbeReply, IndirectProbe, MemberListRequest, MemberList, VmList,
                   VmListRequest, DigestRequest, DigestReply, GrantRequest, GrantReply,
                   OutcomeReport, OutcomeAcknowledged, KeyQuery, KeyQueryReply, ReserveRequest,
                   ReserveReply, ReserveCancel, Release, InFlightReport, ShardSummary, FloorRaise,
                   FloorAcknowledged, SuspectNotice, LimitDemand, LimitShare, RunHint, HintQuery,
                   HintReply>;

/** A message and the member to send it to. */
struct OutgoingMessage
{
    MemberId to;
    PeerMessage message;
    auto operator<=>(const OutgoingMessage &) const = default;
};

using Outbox = std::vector<OutgoingMessage>;

} // namespace Apricothook
