#include <apricothook/model/apricothook_socket_address.hpp>

#include <apricothook/model/apricothook_endpoint.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>

namespace Apricothook {

std::optional<sockaddr_storage> socketAddressOf(const Endpoint &endpoint)
{
    sockaddr_storage address {};
    auto *four = reinterpret_cast<sockaddr_in *>(&address);
    if (::inet_pton(AF_INET, endpoint.address.c_str(), &four->sin_addr) == 1) {
        four->sin_family = AF_INET;
        four->sin_port = htons(endpoint.port);
        return address;
    }
    auto *six = reinterpret_cast<sockaddr_in6 *>(&address);
    if (::inet_pton(AF_INET6, endpoint.address.c_str(), &six->sin6_addr) != 1)
        return std::nullopt;
    six->sin6_family = AF_INET6;
    six->sin6_port = htons(endpoint.port);
    return address;
}

std::string peerAddressOf(int descriptor)
{
    sockaddr_storage peer {};
    socklen_t size = sizeof peer;
    if (::getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) != 0)
        return {};
    std::array<char, INET6_ADDRSTRLEN> text {};
    const void *address = peer.ss_family == AF_INET
        ? static_cast<const void *>(&reinterpret_cast<const sockaddr_in &>(peer).sin_addr)
        : static_cast<const void *>(&reinterpret_cast<const sockaddr_in6 &>(peer).sin6_addr);
    const char *written = ::inet_ntop(peer.ss_family, address, text.data(), text.size());
    return written ? std::string(written) : std::string();
}

} // namespace Apricothook
