#include <apricothook/text/internal/apricothook_value_checks.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Apricothook {

namespace {

constexpr std::size_t MaximumNameBytes = 64;
constexpr std::size_t KeyHashDigits = 64;

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool isNameCharacter(char character)
{
    const bool isLower = character >= 'a' && character <= 'z';
    const bool isUpper = character >= 'A' && character <= 'Z';
    return isLower || isUpper || isDigit(character) || character == '.' || character == '_'
        || character == '-';
}

bool isHexDigit(char character)
{
    return isDigit(character) || (character >= 'a' && character <= 'f')
        || (character >= 'A' && character <= 'F');
}

char lowerCase(char character)
{
    return character >= 'A' && character <= 'F' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}

/** Takes the digits off the front; false when there are none. */
bool takeDigits(std::string_view &text)
{
    const std::size_t count = std::min(text.find_first_not_of("0123456789"), text.size());
    text.remove_prefix(count);
    return count > 0;
}

bool takeOneOf(std::string_view &text, std::string_view characters)
{
    if (text.empty() || characters.find(text.front()) == std::string_view::npos)
        return false;
    text.remove_prefix(1);
    return true;
}

} // namespace

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= MaximumNameBytes
        && std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isJsonNumber(std::string_view text)
{
    takeOneOf(text, "-");
    const bool startsWithZero = takeOneOf(text, "0");
    if (!startsWithZero && !takeDigits(text))
        return false;
    if (takeOneOf(text, ".") && !takeDigits(text))
        return false;
    if (takeOneOf(text, "eE")) {
        takeOneOf(text, "+-");
        if (!takeDigits(text))
            return false;
    }
    return text.empty();
}

std::optional<std::string> parseKeyHash(std::string_view text)
{
    if (text.size() != KeyHashDigits || !std::all_of(text.begin(), text.end(), isHexDigit))
        return std::nullopt;
    std::string hash(text);
    std::transform(hash.begin(), hash.end(), hash.begin(), lowerCase);
    return hash;
}

std::optional<Endpoint> parseCanonicalEndpoint(std::string_view text)
{
    std::optional<Endpoint> endpoint = parseEndpoint(text);
    if (!endpoint || endpoint->address.find(':') == std::string::npos)
        return endpoint;
    in6_addr bytes {};
    std::array<char, INET6_ADDRSTRLEN> writing {};
    inet_pton(AF_INET6, endpoint->address.c_str(), &bytes);
    if (!inet_ntop(AF_INET6, &bytes, writing.data(), writing.size()))
        return std::nullopt;
    endpoint->address = writing.data();
    return endpoint;
}

bool isUnspecified(const Endpoint &endpoint)
{
    return endpoint.address == "0.0.0.0" || endpoint.address == "::";
}

std::string shortNumber(double number)
{
    std::array<char, 64> writing {};
    const auto [end, error]
        = std::to_chars(writing.data(), writing.data() + writing.size(), number);
    return error == std::errc() ? std::string(writing.data(), end) : std::string("?");
}

} // namespace Apricothook
