#include <apricothook/model/apricothook_socket_address.hpp>

#include <apricothook/model/apricothook_endpoint.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>

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

} // namespace Apricothook
