#pragma once

#include <sys/socket.h>

#include <optional>
#include <string>

namespace Apricothook {

struct Endpoint;

/** Converts an IPv4 or IPv6 endpoint for the socket API; nullopt if its address isn't numeric. */
std::optional<sockaddr_storage> socketAddressOf(const Endpoint &endpoint);

/** The numeric address of a connected socket's peer; empty if it isn't connected. */
std::string peerAddressOf(int descriptor);

} // namespace Apricothook
