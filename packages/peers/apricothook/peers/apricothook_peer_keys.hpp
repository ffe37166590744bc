#pragma once

#include <apricothook/model/apricothook_result.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothook {

/** A secret that all daemons share; its number says which one signed a datagram. */
struct PeerKey
{
    std::uint32_t number = 0;
    std::string secret;
    auto operator<=>(const PeerKey &) const = default;
};

/** The first key signs, all are accepted: keys are changed by adding, moving up, removing. */
using PeerKeys = std::vector<PeerKey>;

/** What is wrong with a key file, and where. */
struct PeerKeysError
{
    enum class Rule {
        Unreadable,  ///< The file can't be read.
        NoKey,       ///< No line holds a key.
        BadLine,     ///< Not "NUMBER HEX".
        ShortSecret, ///< Under MinimumSecretBytes.
        SameNumber,  ///< Two keys with one number.
    };
    Rule rule = Rule::NoKey;
    /** Counted from 1; 0 where the error is about the file. */
    std::size_t line = 0;
    auto operator<=>(const PeerKeysError &) const = default;
};

constexpr std::size_t MinimumSecretBytes = 16;

/** Reads "NUMBER HEX" lines; blank lines and lines that start with '#' are left out. */
Result<PeerKeys, PeerKeysError> parsePeerKeys(std::string_view text);
Result<PeerKeys, PeerKeysError> readPeerKeys(const std::string &path);

} // namespace Apricothook
