#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Apricothook {

/** A numeric IP address and a port. */
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    std::string text() const;
    auto operator<=>(const Endpoint &) const = default;
};

/** Parses "IPv4:port" or "[IPv6]:port". Host names, port 0 and any other text give nullopt. */
std::optional<Endpoint> parseEndpoint(std::string_view text);

} // namespace Apricothook
