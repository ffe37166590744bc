#pragma once

#include <apricothook/homes/apricothook_ticket.hpp>

#include <string>
#include <string_view>

namespace Apricothook::TicketCodec {

constexpr std::string_view Prefix = "t1.";
/** Fields of a ticket's text, the prefix among them. */
constexpr std::size_t FieldCount = 6;
constexpr std::size_t MaximumMemberBytes = 64;

/** Lower-case hex without leading zeros. */
std::string hexOf(std::uint64_t number);
/** The ticket's text up to the authentication code. */
std::string signedPart(const Ticket &ticket, std::uint32_t keyNumber);
/** 128 bits of HMAC-SHA256 in hex, over the text and the purpose "ticket". */
std::string codeOf(std::string_view signedText, const TicketKey &key);

} // namespace Apricothook::TicketCodec
