#pragma once

#include <sys/socket.h>

#include <optional>

namespace Apricothook {

struct Endpoint;

/** The endpoint as the socket functions take it, IPv4 or IPv6; nothing when it isn't an IP number.
 */
std::optional<sockaddr_storage> socketAddressOf(const Endpoint &endpoint);

} // namespace Apricothook
