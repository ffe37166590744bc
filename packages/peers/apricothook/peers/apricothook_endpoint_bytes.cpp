#include <apricothook/peers/apricothook_endpoint_bytes.hpp>

#include <arpa/inet.h>

#include <array>

namespace Apricothook {

namespace {

constexpr std::size_t PortBytes = 2;

std::string rawAddress(int family, const std::string &text)
{
    std::array<char, sizeof(in6_addr)> raw {};
    if (inet_pton(family, text.c_str(), raw.data()) != 1)
        return {};
    return {raw.data(), family == AF_INET ? sizeof(in_addr) : sizeof(in6_addr)};
}

} // namespace

std::string endpointBytes(const Endpoint &endpoint)
{
    const bool isVersion6 = endpoint.address.find(':') != std::string::npos;
    std::string bytes = rawAddress(isVersion6 ? AF_INET6 : AF_INET, endpoint.address);
    if (bytes.empty())
        return bytes;
    bytes.push_back(static_cast<char>(endpoint.port >> 8));
    bytes.push_back(static_cast<char>(endpoint.port & 0xff));
    return bytes;
}

std::optional<Endpoint> endpointOf(std::string_view bytes)
{
    if (bytes.empty())
        return Endpoint {};
    const std::size_t size = bytes.size() - std::min(bytes.size(), PortBytes);
    if (size != sizeof(in_addr) && size != sizeof(in6_addr))
        return std::nullopt;
    std::array<char, INET6_ADDRSTRLEN> text {};
    inet_ntop(size == sizeof(in_addr) ? AF_INET : AF_INET6, bytes.data(), text.data(), text.size());
    const auto high = static_cast<unsigned char>(bytes[size]);
    const auto low = static_cast<unsigned char>(bytes[size + 1]);
    return Endpoint {text.data(), static_cast<std::uint16_t>(high << 8 | low)};
}

} // namespace Apricothook
