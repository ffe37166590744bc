#pragma once

#include <apricothook/dispatch/apricothook_stream_origin_messages.hpp>
#include <apricothook/model/apricothook_endpoint.hpp>

#include <cstdint>
#include <variant>
#include <vector>

namespace Apricothook {

/** A daemon as identified and addressed in messages about limits. */
struct LimitPeer
{
    /** memberHash() of the daemon's name. */
    std::uint64_t member = 0;
    /** Address at which it receives datagrams of other daemons. */
    Endpoint address;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.member, self.address);
    }
    auto operator<=>(const LimitPeer &) const = default;
};

/** Requests units of a limit. */
struct UnitsRequest
{
    LimitPeer sender;
    /** Number of this message at the sender. */
    std::uint64_t requestId = 0;
    /** Identifies the limit: customerHash(), targetHash() or traitNumber(). */
    std::uint64_t limit = 0;
    /** Units for a request that is waiting for them. */
    std::uint64_t units = 0;
    /** Units for requests that are expected; granted while the bucket is more than half full. */
    std::uint64_t prefetch = 0;
    /** Fraction of the bucket to be left to others, in thousandths. */
    std::uint32_t reservedThousandths = 0;
    /** The daemon that ranks first doesn't answer the sender. */
    bool firstIsSilent = false;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.sender, self.requestId, self.limit, self.units, self.prefetch,
                self.reservedThousandths, self.firstIsSilent);
    }
    auto operator<=>(const UnitsRequest &) const = default;
};

/** Outcome of a request for units. */
enum class UnitsOutcome : std::uint8_t {
    Granted,
    Refused,    ///< The bucket doesn't hold the units.
    Pending,    ///< The answering daemon is about to become the limit's grantor.
    NotGrantor, ///< The answering daemon isn't the limit's grantor.
};

constexpr bool isKnown(UnitsOutcome outcome)
{
    switch (outcome) {
    case UnitsOutcome::Granted:
    case UnitsOutcome::Refused:
    case UnitsOutcome::Pending:
    case UnitsOutcome::NotGrantor:
        return true;
    }
    return false;
}

struct UnitsReply
{
    std::uint64_t member = 0; ///< memberHash() of the answering daemon.
    std::uint64_t requestId = 0;
    UnitsOutcome outcome = UnitsOutcome::NotGrantor;
    /** Includes prefetched units; zero unless granted. */
    std::uint64_t units = 0;
    /** Units left in the bucket after this answer. */
    std::uint64_t level = 0;
    std::uint64_t bucket = 0;
    std::uint64_t perSecond = 0;
    /** Milliseconds until the bucket holds the refused units. */
    std::uint32_t waitMs = 0;
    /** The grantor as known to the answering daemon; without an address if it grants itself. */
    LimitPeer grantor;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.member, self.requestId, self.outcome, self.units, self.level, self.bucket,
                self.perSecond, self.waitMs, self.grantor);
    }
    auto operator<=>(const UnitsReply &) const = default;
};

/**
 * The sender is to become the limit's grantor; the current one hands over its remaining units.
 */
struct GrantorClaim
{
    LimitPeer sender;
    std::uint64_t claim = 0; ///< Identifies this claim across all daemons and processes.
    std::uint64_t limit = 0;
    /** The sender reaches enough of the fleet to grant the full limit. */
    bool reachesFleet = true;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.sender, self.claim, self.limit, self.reachesFleet);
    }
    auto operator<=>(const GrantorClaim &) const = default;
};

/** The units that a limit's grantor had left when it stopped granting. */
struct GrantorHandover
{
    /** Identifies this handover; a duplicated datagram counts once. */
    std::uint64_t handover = 0;
    /** The claim that this message answers. */
    std::uint64_t claim = 0;
    std::uint64_t limit = 0;
    std::uint64_t level = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.handover, self.claim, self.limit, self.level);
    }
    auto operator<=>(const GrantorHandover &) const = default;
};

/** Gives units back that were granted to the sender and not used. */
struct UnitsReturn
{
    /** Identifies this message; a duplicated datagram counts once. */
    std::uint64_t id = 0;
    std::uint64_t limit = 0;
    std::uint64_t units = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.id, self.limit, self.units);
    }
    auto operator<=>(const UnitsReturn &) const = default;
};

/** The sender isn't the limit's grantor and leaves the limit to the claiming daemon. */
struct GrantorDenial
{
    std::uint64_t member = 0; ///< memberHash() of the sender.
    /** The claim that this message answers. */
    std::uint64_t claim = 0;
    std::uint64_t limit = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.member, self.claim, self.limit);
    }
    auto operator<=>(const GrantorDenial &) const = default;
};

/** A limit that a target named in an answer, or that it ended by an answer without one. */
struct TargetLimitNotice
{
    /** Address of the sender's datagrams, for the reply of a daemon that knows better. */
    Endpoint sender;
    std::uint64_t target = 0; ///< targetHash() of the instance.
    bool isLimited = false;
    /** Requests per second from all daemons together, in thousandths. */
    std::uint64_t thousandthsPerSecond = 0;
    /** Milliseconds since the target is known to have named it. */
    std::uint32_t ageMs = 0;
    /** Sent to all daemons, by one that has just got an answer. */
    bool isAnnouncement = false;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.sender, self.target, self.isLimited, self.thousandthsPerSecond, self.ageMs,
                self.isAnnouncement);
    }
    auto operator<=>(const TargetLimitNotice &) const = default;
};

/** The rejections that a target named as its limit, or that it no longer names one. */
struct BrittlenessNotice
{
    /** The limit is that of rejections for lack of room, not of requests. */
    TargetLimitNotice rejections;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.rejections);
    }
    auto operator<=>(const BrittlenessNotice &) const = default;
};

/** A target that names a limit of rejections has rejected a request for lack of room. */
struct TargetFullNotice
{
    std::uint64_t target = 0; ///< targetHash() of the instance.

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.target);
    }
    auto operator<=>(const TargetFullNotice &) const = default;
};

/** A crash of a target while it ran requests with a trait, or a trial of the trait. */
struct CrashNoticeEntry
{
    /** targetHash() of the crashed instance, or the random number of the trial. */
    std::uint64_t id = 0;
    bool isTrial = false;
    /** The request was sent later and answered, or the trial wasn't run. */
    bool isCleared = false;
    /** Milliseconds since the crash, or since the start of the trial. */
    std::uint32_t ageMs = 0;
    /** customerHash() of the only customer whose requests with the trait were there, or zero. */
    std::uint64_t origin = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.id, self.isTrial, self.isCleared, self.ageMs, self.origin);
    }
    auto operator<=>(const CrashNoticeEntry &) const = default;
};

/** What the sender knows of a trait whose requests were running when targets crashed. */
struct CrashNotice
{
    /** Address of the sender's datagrams, for the reply of a daemon that knows better. */
    Endpoint sender;
    std::uint64_t trait = 0; ///< traitNumber() of the trait.
    /** Sent to all daemons. */
    bool isAnnouncement = false;
    /** Milliseconds since targets last began answers that they lived through, or Never. */
    std::uint32_t soundAgeMs = Never;
    std::vector<CrashNoticeEntry> entries;

    static constexpr std::uint32_t Never = 0xffffffff;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.sender, self.trait, self.isAnnouncement, self.soundAgeMs, self.entries);
    }
    auto operator<=>(const CrashNotice &) const = default;
};

/** Asks a daemon for what it knows of suspect traits; answered with notices and a SuspectReply.
 */
struct SuspectQuery
{
    /** Address of the sender's datagrams. */
    Endpoint sender;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.sender);
    }
    auto operator<=>(const SuspectQuery &) const = default;
};

/** Follows the notices that answer a SuspectQuery. */
struct SuspectReply
{
    /** Number of the notices; some may have been lost. */
    std::uint32_t suspects = 0;
    /** Milliseconds for which the sender, or those that it asked, have remembered suspects. */
    std::uint32_t rememberedMs = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.suspects, self.rememberedMs);
    }
    auto operator<=>(const SuspectReply &) const = default;
};

/**
 * Asks for a permit to send a request to one target once; answered with a PermitReply. For a trait
 * that several requests may have, asks whether the receiver knows of more crashes.
 */
struct PermitRequest
{
    /** Address of the sender's datagrams. */
    Endpoint sender;
    /** Identifies the permit across all daemons; a repeated message is granted once. */
    std::uint64_t permit = 0;
    std::uint64_t request = 0; ///< contentTrait() of the request, or the shared trait.
    /** Milliseconds after which the sender has reported the use of the permit. */
    std::uint32_t lifetimeMs = 0;
    /** The trait is that of several requests, whose sends don't exclude each other. */
    bool isShared = false;
    /** Crashes under the trait that the sender knows, cleared or not. */
    std::uint32_t knownCrashes = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.sender, self.permit, self.request, self.lifetimeMs, self.isShared,
                self.knownCrashes);
    }
    auto operator<=>(const PermitRequest &) const = default;
};

/** Whether a request may be sent. */
enum class PermitOutcome : std::uint8_t {
    Granted,
    Busy,    ///< It is at another target, or was lost there and it isn't known why.
    Suspect, ///< It is sent as a trial only; a CrashNotice tells the crashes.
};

constexpr bool isKnown(PermitOutcome outcome)
{
    switch (outcome) {
    case PermitOutcome::Granted:
    case PermitOutcome::Busy:
    case PermitOutcome::Suspect:
        return true;
    }
    return false;
}

struct PermitReply
{
    std::uint64_t member = 0; ///< memberHash() of the answering daemon.
    std::uint64_t permit = 0;
    PermitOutcome outcome = PermitOutcome::Busy;
    /** A target has answered the request since it was last lost, so further sends need no permit.
     */
    bool isSound = false;
    /** Milliseconds until another answer may be given. */
    std::uint32_t waitMs = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.member, self.permit, self.outcome, self.isSound, self.waitMs);
    }
    auto operator<=>(const PermitReply &) const = default;
};

/** What became of a permitted send. */
enum class PermitUse : std::uint8_t {
    Sound,   ///< The target has begun to answer.
    Unused,  ///< The target didn't run the request, or survived it.
    Lost,    ///< The connection ended without an answer; it isn't known yet why.
    Crashed, ///< The target crashed.
};

constexpr bool isKnown(PermitUse use)
{
    switch (use) {
    case PermitUse::Sound:
    case PermitUse::Unused:
    case PermitUse::Lost:
    case PermitUse::Crashed:
        return true;
    }
    return false;
}

/** Tells the daemon that granted a permit what became of the send. */
struct PermitReport
{
    std::uint64_t permit = 0;
    std::uint64_t request = 0; ///< contentTrait() of the request.
    PermitUse use = PermitUse::Unused;
    std::uint64_t instance = 0; ///< targetHash() of the crashed target.
    /** Milliseconds since the crash. */
    std::uint32_t ageMs = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.permit, self.request, self.use, self.instance, self.ageMs);
    }
    auto operator<=>(const PermitReport &) const = default;
};

using LimitMessage
    = std::variant<UnitsRequest, UnitsReply, GrantorClaim, GrantorHandover, GrantorDenial,
                   TargetLimitNotice, CrashNotice, UnitsReturn, SuspectQuery, SuspectReply,
                   BrittlenessNotice, TargetFullNotice, PermitRequest, PermitReply, PermitReport,
                   StreamOriginNotice, StreamOriginQuery, StreamOriginReply>;

/** Sends messages about requests and limits to other daemons; each may be lost, delayed or
 * duplicated. */
class LimitMessenger
{
public:
    virtual ~LimitMessenger() = default;
    virtual void send(const Endpoint &to, const LimitMessage &message) = 0;
    /** Sends the message to all other daemons that are known to live. */
    virtual void broadcast(const LimitMessage &message) = 0;
};

} // namespace Apricothook
