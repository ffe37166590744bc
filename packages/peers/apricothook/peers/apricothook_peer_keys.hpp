#pragma once

#include <apricothook/model/apricothook_result.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothook {

/** A secret shared by all daemons. Datagrams carry the number of the key they are signed with. */
struct PeerKey
{
    std::uint32_t number = 0;
    std::string secret;
    auto operator<=>(const PeerKey &) const = default;
};

/**
 * The first key signs; signatures of all keys are accepted. To rotate a key, the new one is added
 * at the end, moved to the front, and then the old one is removed.
 */
using PeerKeys = std::vector<PeerKey>;

/** An error in a key file and its location. */
struct PeerKeysError
{
    enum class Rule {
        Unreadable,  ///< The file can't be read.
        NoKey,       ///< The file contains no key.
        BadLine,     ///< A line isn't of the form "NUMBER HEX".
        ShortSecret, ///< A secret is shorter than MinimumSecretBytes.
        SameNumber,  ///< Two keys have the same number.
    };
    Rule rule = Rule::NoKey;
    /** Line number, starting at 1; 0 if the error concerns the whole file. */
    std::size_t line = 0;
    auto operator<=>(const PeerKeysError &) const = default;
};

constexpr std::size_t MinimumSecretBytes = 16;

/** Parses lines of the form "NUMBER HEX". Ignores blank lines and lines that start with '#'. */
Result<PeerKeys, PeerKeysError> parsePeerKeys(std::string_view text);
Result<PeerKeys, PeerKeysError> readPeerKeys(const std::string &path);

} // namespace Apricothook
