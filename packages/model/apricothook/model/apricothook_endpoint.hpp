#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Apricothook {

/** An IP address in numbers and a port. */
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    std::string text() const;
    auto operator<=>(const Endpoint &) const = default;
};

/** Reads "IPv4:port" or "[IPv6]:port"; nothing for host names, port 0 or anything else. */
std::optional<Endpoint> parseEndpoint(std::string_view text);

} // namespace Apricothook
