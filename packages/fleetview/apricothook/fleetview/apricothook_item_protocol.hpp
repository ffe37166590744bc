#pragma once

#include <apricothook/fleetview/apricothook_item_replica.hpp>
#include <apricothook/fleetview/apricothook_transfer.hpp>
#include <apricothook/model/apricothook_result.hpp>

#include <string>
#include <string_view>

namespace Apricothook {

/** Reason why a response of the source contains no update. */
enum class ItemProtocolError {
    Malformed,
    HistoryCompacted, ///< The changes since that revision are gone; all items must be read.
    Refused, ///< The source currently rejects requests, of all daemons or only of this one.
};

/** One page of the listing of all items. */
struct ItemPage
{
    ItemUpdate update;
    /** A further page follows, which starts after the last key of this one. */
    bool hasMore = false;
};

/** Request paths and response formats of a source of published items. */
class ItemProtocol
{
public:
    virtual ~ItemProtocol() = default;
    /** Path and query that request the page of items whose keys follow `after`. */
    virtual std::string pagePath(const std::string &after) const = 0;
    virtual Result<ItemPage, ItemProtocolError> page(const SourceAnswer &answer) const = 0;
    /** Path and query of a long poll that waits up to `wait` for changes after a revision. */
    virtual std::string watchPath(Revision after, std::chrono::milliseconds wait) const = 0;
    virtual Result<ItemUpdate, ItemProtocolError> watched(const SourceAnswer &answer) const = 0;
};

} // namespace Apricothook
