#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>

#include <cstdint>
#include <string>

namespace Apricothook {

/** A secret that all daemons share; the number says which one signed. */
struct TicketKey
{
    std::uint32_t number = 0;
    std::string secret;
    auto operator<=>(const TicketKey &) const = default;
};

/**
 * Names the daemon life that is the home of every key that begins with it.
 *
 * Its text is "t1.MEMBER.INCARNATION.ISSUED.KEYNUMBER.MAC": numbers in lower-case hex, '.' in
 * member names written as '~' (which member names never contain), and 128 bits of HMAC-SHA256.
 */
struct Ticket
{
    MemberInstance home;
    /** Milliseconds on the steady clock of the home's process; only that life may compare it. */
    std::uint64_t issuedMilliseconds = 0;
    auto operator<=>(const Ticket &) const = default;
};

enum class TicketError {
    Malformed,
    UnknownSigningKey, ///< Signed with a key that this daemon doesn't hold.
    Forged,            ///< The authentication code doesn't match.
    NoOwnPart,         ///< Nothing follows the ticket, so all its users would share one key.
    TooLong,           ///< Longer than MaximumKeyBytes.
};

} // namespace Apricothook
