#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>

#include <ace/INET_Addr.h>

#include <optional>

namespace Apricothook {

/** Without a name service: addresses are in numbers. Nothing where it isn't one. */
std::optional<ACE_INET_Addr> socketAddress(const Endpoint &endpoint);
Endpoint endpointOf(const ACE_INET_Addr &address);

} // namespace Apricothook
