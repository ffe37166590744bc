#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>

namespace Apricothook {

/** Bytes of one datagram with all of these messages: sealed, with the headers of IP and UDP. */
double datagramBytes(const Outbox &messages);

} // namespace Apricothook
