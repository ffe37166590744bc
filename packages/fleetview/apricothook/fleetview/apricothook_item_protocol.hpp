#pragma once

#include <apricothook/fleetview/apricothook_item_replica.hpp>
#include <apricothook/model/apricothook_result.hpp>

#include <string>
#include <string_view>

namespace Apricothook {

/** Why a source's answer isn't an update. */
enum class ItemProtocolError {
    Malformed,
    HistoryCompacted, ///< The changes since that revision are no longer known: read everything.
    Refused,          ///< The source answers nobody, or not us, for now.
};

/** One page of everything that there is. */
struct ItemPage
{
    ItemUpdate update;
    /** The next page begins behind the last item of this one. */
    bool hasMore = false;
};

/** An answer as it came. */
struct SourceAnswer
{
    unsigned status = 0;
    std::string body;
};

/** How a source of published items is asked; the calls and formats behind one interface. */
class ItemProtocol
{
public:
    virtual ~ItemProtocol() = default;
    /** Path and query that ask for the items behind the key `after`. */
    virtual std::string pagePath(const std::string &after) const = 0;
    virtual Result<ItemPage, ItemProtocolError> page(const SourceAnswer &answer) const = 0;
    /** Path and query that wait up to `wait` for changes after a revision. */
    virtual std::string watchPath(Revision after, std::chrono::milliseconds wait) const = 0;
    virtual Result<ItemUpdate, ItemProtocolError> watched(const SourceAnswer &answer) const = 0;
};

} // namespace Apricothook
