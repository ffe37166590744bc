#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>

#include <vector>

namespace Apricothook {

/**
 * A message on its way to an address. Membership names the address itself, as it writes to members
 * that the view doesn't hold: seeds, whose names aren't known yet (`to` is empty), and the dead.
 */
struct Addressed
{
    MemberId to;
    Endpoint address;
    PeerMessage message;
    auto operator<=>(const Addressed &) const = default;
};

using Mail = std::vector<Addressed>;

} // namespace Apricothook
