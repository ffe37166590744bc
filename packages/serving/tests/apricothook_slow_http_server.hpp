#pragma once

#include <apricothook/eventloop/apricothook_listener.hpp>
#include <apricothook/eventloop/apricothook_stream_socket.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Apricothook {

/** An HTTP server whose responses are sent piece by piece, as over a slow link. */
class SlowHttpServer
{
public:
    /** Returns the body of the next response. */
    using Body = std::function<std::string()>;

    SlowHttpServer(EventLoop &loop, Body body)
        : m_loop(loop)
        , m_body(std::move(body))
        , m_listener(Listener::open(loop, {"127.0.0.1", 0}, [this](int descriptor) {
                         m_connections.push_back(std::make_unique<Connection>(*this, descriptor));
                     }).value())
    {
    }

    std::uint16_t port() const { return m_listener->port(); }
    std::size_t requests() const { return m_requests; }
    /** Sends up to `bytes` more of each response. */
    void sendMore(std::size_t bytes)
    {
        for (const std::unique_ptr<Connection> &connection : m_connections)
            connection->sendMore(bytes);
    }

private:
    class Connection : private StreamSocketEvents
    {
    public:
        Connection(SlowHttpServer &server, int descriptor)
            : m_server(server), m_socket(server.m_loop, *this, descriptor)
        {
        }
        void sendMore(std::size_t bytes)
        {
            if (!m_socket.isOpen() || m_unsent.empty())
                return;
            m_socket.send(m_unsent.substr(0, bytes));
            m_unsent.erase(0, bytes);
        }

    private:
        void onData(std::string_view bytes) override
        {
            m_request += bytes;
            if (!m_request.ends_with("\r\n\r\n"))
                return;
            m_request.clear();
            ++m_server.m_requests;
            const std::string body = m_server.m_body();
            m_unsent = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                + "\r\n\r\n" + body;
        }
        void onEnd(CloseReason) override { m_unsent.clear(); }

        SlowHttpServer &m_server;
        std::string m_request;
        std::string m_unsent;
        StreamSocket m_socket;
    };

    EventLoop &m_loop;
    const Body m_body;
    std::vector<std::unique_ptr<Connection>> m_connections;
    std::size_t m_requests = 0;
    std::unique_ptr<Listener> m_listener;
};

} // namespace Apricothook
