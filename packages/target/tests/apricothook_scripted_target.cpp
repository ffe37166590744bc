#include "apricothook_scripted_target.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace Apricothook {

namespace {

std::size_t bodyBytes(const std::string &head)
{
    const std::string name = "Content-Length: ";
    const std::size_t at = head.find(name);
    return at == std::string::npos ? 0 : std::stoul(head.substr(at + name.size()));
}

int listenOnLoopback(Endpoint &address)
{
    sockaddr_in bound {};
    bound.sin_family = AF_INET;
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(bound);
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    static_cast<void>(bind(listener, reinterpret_cast<sockaddr *>(&bound), size));
    listen(listener, 64);
    getsockname(listener, reinterpret_cast<sockaddr *>(&bound), &size);
    address = Endpoint {"127.0.0.1", ntohs(bound.sin_port)};
    return listener;
}

} // namespace

std::string ScriptedConnection::readRequest()
{
    std::array<char, 16384> bytes;
    for (;;) {
        const std::size_t end = m_buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            const std::size_t size = end + 4 + bodyBytes(m_buffer.substr(0, end));
            if (m_buffer.size() >= size) {
                std::string request = m_buffer.substr(0, size);
                m_buffer.erase(0, size);
                return request;
            }
        }
        const ssize_t count = recv(m_socket, bytes.data(), bytes.size(), 0);
        if (count <= 0)
            return {};
        m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
    }
}

void ScriptedConnection::waitForEnd()
{
    std::array<char, 1024> bytes;
    while (recv(m_socket, bytes.data(), bytes.size(), 0) > 0) { }
}

void ScriptedConnection::send(const std::string &bytes) const
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t count
            = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return;
        sent += static_cast<std::size_t>(count);
    }
}

ScriptedTarget::ScriptedTarget(Script script)
    : m_script(std::move(script))
    , m_listener(listenOnLoopback(m_address))
    , m_accepting([this] { acceptAll(); })
{
}

ScriptedTarget::~ScriptedTarget()
{
    shutdown(m_listener, SHUT_RDWR);
    m_accepting.join();
    close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const int socket : m_sockets)
            shutdown(socket, SHUT_RDWR);
    }
    for (std::thread &thread : m_threads)
        thread.join();
}

void ScriptedTarget::acceptAll()
{
    for (;;) {
        const int socket = accept(m_listener, nullptr, nullptr);
        if (socket < 0)
            return;
        const int number = m_connections++;
        {
            const std::lock_guard lock(m_mutex);
            m_sockets.push_back(socket);
        }
        m_threads.emplace_back([this, socket, number] {
            ScriptedConnection connection(socket);
            m_script(connection, number);
            const std::lock_guard lock(m_mutex);
            std::erase(m_sockets, socket);
            close(socket);
        });
    }
}

void RequestLog::add(const std::string &request)
{
    const std::lock_guard lock(m_mutex);
    m_requests.push_back(request);
}

std::vector<std::string> RequestLog::all() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

int RequestLog::count(const std::string &start) const
{
    const std::vector<std::string> requests = all();
    return static_cast<int>(
        std::count_if(requests.begin(), requests.end(),
                      [&start](const std::string &each) { return each.starts_with(start); }));
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream size;
    size << std::hex << bytes.size();
    return size.str() + "\r\n" + bytes + "\r\n";
}

std::string streamHead(const std::string &boot)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nEngine-Boot: " + boot
        + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string plainAnswer(const std::string &statusLine, const std::string &headers,
                        const std::string &body)
{
    return "HTTP/1.1 " + statusLine + "\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace Apricothook
