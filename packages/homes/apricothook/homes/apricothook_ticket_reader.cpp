#include <apricothook/homes/apricothook_ticket_reader.hpp>

#include <apricothook/homes/internal/apricothook_ticket_codec.hpp>

#include <openssl/crypto.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Apricothook {

namespace {

/** The fields of a ticket's text, and what follows it. */
struct Split
{
    std::array<std::string_view, TicketCodec::FieldCount> fields;
    std::string_view signedText;
    std::string_view ownPart;
};

enum Field { PrefixField, MemberField, IncarnationField, IssuedField, KeyNumberField, CodeField };

std::optional<Split> split(std::string_view text)
{
    Split result;
    std::size_t begin = 0;
    for (std::string_view &field : result.fields) {
        if (begin > text.size())
            return std::nullopt;
        const std::size_t end = std::min(text.find('.', begin), text.size());
        field = text.substr(begin, end - begin);
        begin = end + 1;
    }
    const std::string_view code = result.fields[CodeField];
    result.signedText = text.substr(0, static_cast<std::size_t>(code.data() - text.data()) - 1);
    if (begin <= text.size())
        result.ownPart = text.substr(begin);
    return result;
}

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

bool isMemberCharacter(char character)
{
    const bool isLetter
        = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || character == '~' || character == '_' || character == '-';
}

std::optional<MemberId> parseMember(std::string_view text)
{
    if (text.empty() || text.size() > TicketCodec::MaximumMemberBytes
        || !std::all_of(text.begin(), text.end(), isMemberCharacter))
        return std::nullopt;
    std::string member(text);
    std::replace(member.begin(), member.end(), '~', '.');
    return MemberId(member);
}

bool isSame(std::string_view left, std::string_view right)
{
    // Constant time: otherwise the time to refuse tells how many bytes of a forged code are right.
    return left.size() == right.size()
        && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

TicketReader::TicketReader(std::vector<TicketKey> keys) : m_keys(std::move(keys)) { }

Result<std::optional<Ticket>, TicketError> TicketReader::read(const RequestKey &key) const
{
    const std::string_view text = key.text();
    if (!text.starts_with(TicketCodec::Prefix))
        return std::optional<Ticket>();
    if (text.size() > MaximumKeyBytes)
        return TicketError::TooLong;
    const std::optional<Split> parts = split(text);
    if (!parts)
        return TicketError::Malformed;
    const std::optional<MemberId> member = parseMember(parts->fields[MemberField]);
    const std::optional<std::uint64_t> incarnation = parseHex(parts->fields[IncarnationField]);
    const std::optional<std::uint64_t> issued = parseHex(parts->fields[IssuedField]);
    const std::optional<std::uint64_t> keyNumber = parseHex(parts->fields[KeyNumberField]);
    if (!member || !incarnation || !issued || !keyNumber)
        return TicketError::Malformed;
    const TicketKey *signer = keyOf(*keyNumber);
    if (!signer)
        return TicketError::UnknownSigningKey;
    if (!isSame(TicketCodec::codeOf(parts->signedText, *signer), parts->fields[CodeField]))
        return TicketError::Forged;
    if (parts->ownPart.empty())
        return TicketError::NoOwnPart;
    return std::optional<Ticket>(Ticket {{*member, Incarnation(*incarnation)}, *issued});
}

const TicketKey *TicketReader::keyOf(std::uint64_t number) const
{
    const auto found = std::find_if(m_keys.begin(), m_keys.end(), [number](const TicketKey &key) {
        return key.number == number;
    });
    return found == m_keys.end() ? nullptr : &*found;
}

} // namespace Apricothook
