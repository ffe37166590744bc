#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>

#include <ace/INET_Addr.h>

#include <optional>

namespace Apricothook {

/** Converts a numeric address without DNS; returns nothing if the address isn't numeric. */
std::optional<ACE_INET_Addr> socketAddress(const Endpoint &endpoint);
Endpoint endpointOf(const ACE_INET_Addr &address);

} // namespace Apricothook
