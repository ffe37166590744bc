#pragma once

#include <apricothook/fleetview/apricothook_item_protocol.hpp>
#include <apricothook/fleetview/apricothook_item_replica.hpp>

#include <string>
#include <string_view>

namespace Apricothook {

/** Path at which daemons ask one another for published items. */
constexpr std::string_view PeerItemsPath = "/items";

/** Path and query that ask a peer for what was published after a revision. */
std::string peerItemsPath(Revision after);
/** The revision that a request's target asks for; nothing when it isn't such a request. */
std::optional<Revision> requestedRevision(std::string_view target);

std::string writeItemUpdate(const ItemUpdate &update);
Result<ItemUpdate, ItemProtocolError> parseItemUpdate(std::string_view text);

} // namespace Apricothook
