#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace Apricothook {

/** A caller that writes and reads bytes, so that it can misbehave in ways that a client can't. */
class RawCaller
{
public:
    explicit RawCaller(std::uint16_t port) : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const timeval patience {10, 0};
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_isConnected
            = ::connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
    }
    ~RawCaller() { leave(); }
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    bool isConnected() const { return m_isConnected; }

    void send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
    }

    /** Reads until `mark` was read, or the connection ended. */
    std::string readUntil(std::string_view mark)
    {
        std::string all;
        char byte = 0;
        while (!all.ends_with(mark) && ::recv(m_socket, &byte, 1, 0) == 1)
            all.push_back(byte);
        return all;
    }

    std::string readAll()
    {
        std::string all;
        std::array<char, 16384> bytes {};
        ssize_t count = 0;
        while ((count = ::recv(m_socket, bytes.data(), bytes.size(), 0)) > 0)
            all.append(bytes.data(), static_cast<std::size_t>(count));
        return all;
    }

    /** The head of an answer and the body that its Content-Length gives. */
    std::string readAnswer()
    {
        std::string head = readUntil("\r\n\r\n");
        const std::size_t at = head.find("Content-Length: ");
        std::size_t left = at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
        char byte = 0;
        for (; left > 0 && ::recv(m_socket, &byte, 1, 0) == 1; --left)
            head.push_back(byte);
        return head;
    }

    void leave()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }

private:
    int m_socket;
    bool m_isConnected = false;
};

} // namespace Apricothook
