#include <apricothook/model/apricothook_endpoint.hpp>

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace Apricothook {

namespace {

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (error != std::errc() || end != text.data() + text.size() || port == 0)
        return std::nullopt;
    return port;
}

bool isAddress(int family, const std::string &text)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes;
    return inet_pton(family, text.c_str(), bytes.data()) == 1;
}

} // namespace

std::string Endpoint::text() const
{
    const bool isVersion6 = address.find(':') != std::string::npos;
    const std::string host = isVersion6 ? "[" + address + "]" : address;
    return host + ":" + std::to_string(port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const std::optional<std::uint16_t> port = parsePort(text.substr(colon + 1));
    std::string_view host = text.substr(0, colon);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    const std::string address(host);
    if (!port || !isAddress(isBracketed ? AF_INET6 : AF_INET, address))
        return std::nullopt;
    return Endpoint {address, *port};
}

} // namespace Apricothook
