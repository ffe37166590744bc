#pragma once

#include <apricothook/eventloop/apricothook_listener.hpp>
#include <apricothook/http1/apricothook_message_head.hpp>

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace Apricothook {

/** A whole answer of a few lines. */
struct SmallAnswer
{
    unsigned status = 200;
    std::string contentType = "text/plain";
    std::string body;

    auto operator<=>(const SmallAnswer &) const = default;
};

/** Answers short questions that need no target: lookups, readiness, metrics, peers' items. */
class SmallHttpServer
{
public:
    using Handler = std::function<SmallAnswer(const RequestHead &)>;

    static Result<std::unique_ptr<SmallHttpServer>, ListenError>
    open(EventLoop &loop, const Endpoint &address, Handler handler);
    ~SmallHttpServer();
    SmallHttpServer(const SmallHttpServer &) = delete;
    SmallHttpServer &operator=(const SmallHttpServer &) = delete;

    std::uint16_t port() const { return m_listener->port(); }

private:
    class Connection;

    SmallHttpServer(EventLoop &loop, Handler handler);
    void accept(int descriptor);
    void closed(Connection &connection);

    EventLoop &m_loop;
    const Handler m_handler;
    std::unique_ptr<Listener> m_listener;
    std::list<std::unique_ptr<Connection>> m_connections;
};

} // namespace Apricothook
