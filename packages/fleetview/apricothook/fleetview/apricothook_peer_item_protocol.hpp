#pragma once

#include <apricothook/fleetview/apricothook_item_protocol.hpp>
#include <apricothook/fleetview/apricothook_item_replica.hpp>

#include <string>
#include <string_view>

namespace Apricothook {

/** Path at which daemons serve published items to each other. */
constexpr std::string_view PeerItemsPath = "/items";

/** Path and query that request the changes after a revision from a peer. */
std::string peerItemsPath(Revision after);
/** Parses the revision from a request target; returns nothing for other request targets. */
std::optional<Revision> requestedRevision(std::string_view target);

std::string writeItemUpdate(const ItemUpdate &update);
Result<ItemUpdate, ItemProtocolError> parseItemUpdate(std::string_view text);

} // namespace Apricothook
