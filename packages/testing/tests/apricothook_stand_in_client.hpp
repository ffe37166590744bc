#pragma once

#include <apricothook/testing/apricothook_answer_bytes.hpp>

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace Apricothook {

/** What came back on one connection, with chunked bodies put together. */
struct ClientAnswer
{
    int status = 0; ///< 0: closed without an answer.
    std::string head;
    std::string body;
};

/** Sends one request on a connection of its own and reads until the other side closes. */
inline ClientAnswer callStandIn(std::uint16_t port, const std::string &method,
                                const std::string &path, const std::string &body = "",
                                const std::string &headers = "")
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(socket);
        return {};
    }
    const std::string request = method + " " + path
        + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    ::send(socket, request.data(), request.size(), MSG_NOSIGNAL);
    std::string all;
    char buffer[4096];
    for (ssize_t count; (count = ::recv(socket, buffer, sizeof buffer, 0)) > 0;)
        all.append(buffer, static_cast<std::size_t>(count));
    ::close(socket);
    ClientAnswer answer;
    const std::size_t end = all.find("\r\n\r\n");
    if (end == std::string::npos)
        return answer;
    answer.status = std::stoi(all.substr(9, 3));
    answer.head = all.substr(0, end);
    std::string rest = all.substr(end + 4);
    if (answer.head.find("chunked") == std::string::npos) {
        answer.body = rest;
        return answer;
    }
    while (!rest.empty()) {
        const std::size_t line = rest.find("\r\n");
        const std::size_t size = std::stoul(rest.substr(0, line), nullptr, 16);
        if (size == 0 || line == std::string::npos)
            break;
        answer.body += rest.substr(line + 2, size);
        rest.erase(0, std::min(rest.size(), line + 2 + size + 2));
    }
    return answer;
}

inline ClientAnswer complete(std::uint16_t port, const std::string &stream,
                             const CompletionRequest &request)
{
    return callStandIn(port, "POST", "/v1/completions", completionBody(request),
                       "Engine-Stream: " + stream + "\r\nIdempotency-Key: " + stream + "\r\n");
}

} // namespace Apricothook
