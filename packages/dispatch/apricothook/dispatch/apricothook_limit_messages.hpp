#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>

#include <cstdint>
#include <variant>

namespace Apricothook {

/** A daemon as those who share customers' limits name and reach it. */
struct LimitPeer
{
    /** memberHash() of its name. */
    std::uint64_t member = 0;
    /** Where it receives datagrams of other daemons. */
    Endpoint address;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.member, self.address);
    }
    auto operator<=>(const LimitPeer &) const = default;
};

/** A daemon wants units of a customer. */
struct UnitsRequest
{
    LimitPeer sender;
    /** The sender's number of this question. */
    std::uint64_t requestId = 0;
    std::uint64_t customer = 0; ///< customerHash() of the name.
    /** For a request that waits for them. */
    std::uint64_t units = 0;
    /** For requests that are expected; given while the bucket is more than half full. */
    std::uint64_t prefetch = 0;
    /** Part of the bucket to be left to others, in thousandths. */
    std::uint32_t reservedThousandths = 0;
    /** The daemon that goes first doesn't answer the sender. */
    bool firstIsSilent = false;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.sender, self.requestId, self.customer, self.units, self.prefetch,
                self.reservedThousandths, self.firstIsSilent);
    }
    auto operator<=>(const UnitsRequest &) const = default;
};

/** What a daemon says to a question for units. */
enum class UnitsOutcome : std::uint8_t {
    Granted,
    Refused,    ///< The customer is over its limit.
    Pending,    ///< The answering daemon is about to become the customer's grantor.
    NotGrantor, ///< It isn't the customer's grantor.
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
    /** With what was asked ahead; zero unless granted. */
    std::uint64_t units = 0;
    /** What the bucket holds, after this. */
    std::uint64_t level = 0;
    std::uint64_t bucket = 0;
    std::uint64_t perSecond = 0;
    /** Until the bucket has what was refused. */
    std::uint32_t waitMs = 0;
    /** Whom the answering daemon takes for the grantor; without an address when it grants itself.
     */
    LimitPeer grantor;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.member, self.requestId, self.outcome, self.units, self.level, self.bucket,
                self.perSecond, self.waitMs, self.grantor);
    }
    auto operator<=>(const UnitsReply &) const = default;
};

/** The sender is to be the customer's grantor; whoever is it now hands over what it has left. */
struct GrantorClaim
{
    LimitPeer sender;
    std::uint64_t claim = 0; ///< Names this claim, over all daemons and processes.
    std::uint64_t customer = 0;
    /** The sender reaches so much of the fleet that it would grant all of the limit. */
    bool reachesFleet = true;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.sender, self.claim, self.customer, self.reachesFleet);
    }
    auto operator<=>(const GrantorClaim &) const = default;
};

/** What a customer's grantor had left when it stopped granting. */
struct GrantorHandover
{
    /** Names this handover; a datagram that comes twice counts once. */
    std::uint64_t handover = 0;
    /** The claim that it answers. */
    std::uint64_t claim = 0;
    std::uint64_t customer = 0;
    std::uint64_t level = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.handover, self.claim, self.customer, self.level);
    }
    auto operator<=>(const GrantorHandover &) const = default;
};

/** The sender isn't the customer's grantor, and leaves it to whoever claims it. */
struct GrantorDenial
{
    std::uint64_t member = 0; ///< memberHash() of the sender.
    /** The claim that it answers. */
    std::uint64_t claim = 0;
    std::uint64_t customer = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.member, self.claim, self.customer);
    }
    auto operator<=>(const GrantorDenial &) const = default;
};

using LimitMessage
    = std::variant<UnitsRequest, UnitsReply, GrantorClaim, GrantorHandover, GrantorDenial>;

/** Carries messages about limits to other daemons; each may be lost, late or come twice. */
class LimitMessenger
{
public:
    virtual ~LimitMessenger() = default;
    virtual void send(const Endpoint &to, const LimitMessage &message) = 0;
};

} // namespace Apricothook
