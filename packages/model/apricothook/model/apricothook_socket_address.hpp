#pragma once

#include <sys/socket.h>

#include <optional>

namespace Apricothook {

struct Endpoint;

/** Converts an IPv4 or IPv6 endpoint for the socket API; nullopt if its address isn't numeric. */
std::optional<sockaddr_storage> socketAddressOf(const Endpoint &endpoint);

} // namespace Apricothook
