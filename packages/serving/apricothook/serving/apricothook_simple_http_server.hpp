#pragma once

#include <apricothook/eventloop/apricothook_listener.hpp>
#include <apricothook/http1/apricothook_message_head.hpp>

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace Apricothook {

/** A complete HTTP response with a small body. */
struct SimpleHttpResponse
{
    unsigned status = 200;
    std::string contentType = "text/plain";
    std::string body;
    /** Value of Content-Encoding; none if empty. */
    std::string contentEncoding {};

    auto operator<=>(const SimpleHttpResponse &) const = default;
};

/** Serves requests that need no target: lookups, readiness, metrics, published items for peers. */
class SimpleHttpServer
{
public:
    static constexpr std::size_t DefaultConnections = 256;

    using Handler = std::function<SimpleHttpResponse(const RequestHead &)>;

    /** `connections`: most that are open at the same time; above, the oldest one is closed. */
    static Result<std::unique_ptr<SimpleHttpServer>, ListenError>
    open(EventLoop &loop, const Endpoint &address, Handler handler,
         std::size_t connections = DefaultConnections);
    ~SimpleHttpServer();
    SimpleHttpServer(const SimpleHttpServer &) = delete;
    SimpleHttpServer &operator=(const SimpleHttpServer &) = delete;

    std::uint16_t port() const { return m_listener->port(); }

private:
    class Connection;

    SimpleHttpServer(EventLoop &loop, Handler handler, std::size_t connections);
    void accept(int descriptor);
    void onClosed(Connection &connection);

    EventLoop &m_loop;
    const Handler m_handler;
    const std::size_t m_mostConnections;
    std::unique_ptr<Listener> m_listener;
    std::list<std::unique_ptr<Connection>> m_connections;
};

} // namespace Apricothook
