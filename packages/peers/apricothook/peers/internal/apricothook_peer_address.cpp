#include <apricothook/peers/internal/apricothook_peer_address.hpp>

#include <arpa/inet.h>

#include <array>

namespace Apricothook {

std::optional<ACE_INET_Addr> socketAddress(const Endpoint &endpoint)
{
    sockaddr_in version4 {};
    version4.sin_family = AF_INET;
    version4.sin_port = htons(endpoint.port);
    if (inet_pton(AF_INET, endpoint.address.c_str(), &version4.sin_addr) == 1)
        return ACE_INET_Addr(&version4, sizeof(version4));
    sockaddr_in6 version6 {};
    version6.sin6_family = AF_INET6;
    version6.sin6_port = htons(endpoint.port);
    if (inet_pton(AF_INET6, endpoint.address.c_str(), &version6.sin6_addr) == 1)
        return ACE_INET_Addr(reinterpret_cast<const sockaddr_in *>(&version6), sizeof(version6));
    return std::nullopt;
}

Endpoint endpointOf(const ACE_INET_Addr &address)
{
    std::array<char, INET6_ADDRSTRLEN> text {};
    const char *host = address.get_host_addr(text.data(), static_cast<int>(text.size()));
    return {host ? host : "", address.get_port_number()};
}

} // namespace Apricothook
