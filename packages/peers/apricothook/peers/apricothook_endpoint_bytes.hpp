#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace Apricothook {

/** Encodes address and port as 6 (IPv4) or 18 (IPv6) bytes; an unset endpoint is empty. */
std::string endpointBytes(const Endpoint &endpoint);
std::optional<Endpoint> endpointOf(std::string_view bytes);

} // namespace Apricothook
