#include <apricothook/peers/apricothook_peer_keys.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <optional>
#include <sstream>

namespace Apricothook {

namespace {

using Rule = PeerKeysError::Rule;

template <typename Number>
bool parseNumber(std::string_view text, Number &number, int base)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    return error == std::errc() && end == text.data() + text.size();
}

std::optional<std::string> parseHex(std::string_view text)
{
    std::string bytes;
    for (std::size_t i = 0; i < text.size(); i += 2) {
        std::uint8_t byte = 0;
        if (i + 1 == text.size() || !parseNumber(text.substr(i, 2), byte, 16))
            return std::nullopt;
        bytes.push_back(static_cast<char>(byte));
    }
    return bytes;
}

std::optional<PeerKey> parseKey(const std::string &line)
{
    std::istringstream words(line);
    std::string number;
    std::string hex;
    std::string extra;
    PeerKey key;
    if (!(words >> number >> hex) || (words >> extra) || !parseNumber(number, key.number, 10))
        return std::nullopt;
    const std::optional<std::string> secret = parseHex(hex);
    if (!secret)
        return std::nullopt;
    key.secret = *secret;
    return key;
}

std::optional<Rule> addLine(const std::string &line, PeerKeys &keys)
{
    const std::optional<PeerKey> key = parseKey(line);
    if (!key)
        return Rule::BadLine;
    if (key->secret.size() < MinimumSecretBytes)
        return Rule::ShortSecret;
    const auto hasNumber = [&key](const PeerKey &other) { return other.number == key->number; };
    if (std::any_of(keys.begin(), keys.end(), hasNumber))
        return Rule::SameNumber;
    keys.push_back(*key);
    return std::nullopt;
}

} // namespace

Result<PeerKeys, PeerKeysError> parsePeerKeys(std::string_view text)
{
    PeerKeys keys;
    std::istringstream lines {std::string(text)};
    std::string line;
    for (std::size_t number = 1; std::getline(lines, line); ++number) {
        const std::size_t start = line.find_first_not_of(" \t\r");
        if (start == std::string::npos || line[start] == '#')
            continue;
        if (const std::optional<Rule> violated = addLine(line, keys))
            return PeerKeysError {*violated, number};
    }
    if (keys.empty())
        return PeerKeysError {Rule::NoKey, 0};
    return keys;
}

Result<PeerKeys, PeerKeysError> readPeerKeys(const std::string &path)
{
    const std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return PeerKeysError {Rule::Unreadable, 0};
    return parsePeerKeys(text.str());
}

} // namespace Apricothook
