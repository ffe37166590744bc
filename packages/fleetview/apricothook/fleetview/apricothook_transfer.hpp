#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Apricothook {

/** How a transfer of published items ended. */
enum class TransferEnd {
    Complete,
    NotConnected, ///< No connection was established.
    TimedOut,     ///< The response didn't arrive within the time limits.
    Broken,       ///< The connection ended within the response, or the transfer was cancelled.
    Refused,      ///< The response has an error status.
    Malformed,    ///< The response can't be parsed.
};

constexpr std::string_view nameOf(TransferEnd end)
{
    switch (end) {
    case TransferEnd::Complete:
        return "complete";
    case TransferEnd::NotConnected:
        return "not-connected";
    case TransferEnd::TimedOut:
        return "timed-out";
    case TransferEnd::Broken:
        return "broken";
    case TransferEnd::Refused:
        return "refused";
    case TransferEnd::Malformed:
        return "malformed";
    }
    return "unknown";
}

/** End of a transfer, the bytes of the body as sent that arrived until then, and its duration. */
struct TransferRecord
{
    TransferEnd end = TransferEnd::Complete;
    std::size_t bytes = 0;
    Duration took {};

    auto operator<=>(const TransferRecord &) const = default;
};

/** Status and body of an HTTP response, before it is parsed. */
struct SourceAnswer
{
    unsigned status = 0;
    std::string body;
};

/** A response, empty if none was received completely, and how its transfer ended. */
struct Transfer
{
    std::optional<SourceAnswer> response;
    TransferRecord record;
};

} // namespace Apricothook
