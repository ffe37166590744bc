#include <apricothook/homes/internal/apricothook_ticket_codec.hpp>

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Apricothook::TicketCodec {

namespace {

constexpr std::size_t CodeBytes = 16;
// Peers sign their packets with the same secrets: without a purpose in the text, a signed packet
// could be replayed as a ticket.
constexpr std::string_view Purpose = "apricothook ticket ";

} // namespace

std::string hexOf(std::uint64_t number)
{
    std::array<char, 16> digits {};
    const auto [end, error]
        = std::to_chars(digits.data(), digits.data() + digits.size(), number, 16);
    return std::string(digits.data(), end);
}

std::string signedPart(const Ticket &ticket, std::uint32_t keyNumber)
{
    std::string member = ticket.home.member.text();
    std::replace(member.begin(), member.end(), '.', '~');
    return std::string(Prefix) + member + "." + hexOf(ticket.home.incarnation.value()) + "."
        + hexOf(ticket.issuedMilliseconds) + "." + hexOf(keyNumber);
}

std::string codeOf(std::string_view signedText, const TicketKey &key)
{
    const std::string text = std::string(Purpose) + std::string(signedText);
    std::array<unsigned char, EVP_MAX_MD_SIZE> code {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), code.data(), &size);
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string hex;
    for (std::size_t i = 0; i < CodeBytes; ++i) {
        hex += Digits[code[i] >> 4];
        hex += Digits[code[i] & 15];
    }
    return hex;
}

} // namespace Apricothook::TicketCodec
