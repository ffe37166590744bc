#include <apricothook/serving/apricothook_small_http_server.hpp>

#include <apricothook/eventloop/apricothook_stream_socket.hpp>
#include <apricothook/http1/apricothook_message_reader.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

/** Questions have no body to speak of. */
constexpr MessageLimits QuestionLimits {8192, 4096};
constexpr std::chrono::seconds IdleLimit {30};
/** Connections that wait for a question; the oldest goes when there are more. */
constexpr std::size_t MostConnections = 256;

} // namespace

class SmallHttpServer::Connection : private StreamSocketEvents
{
public:
    Connection(SmallHttpServer &server, int descriptor)
        : m_server(server), m_loop(server.m_loop), m_socket(m_loop, *this, descriptor)
    {
        startIdleTimer();
    }
    // It may end after the server: closed() leaves it to the loop.
    ~Connection() override { m_loop.cancel(m_idle); }

    void close()
    {
        m_socket.close();
        m_server.closed(*this);
    }

private:
    void onData(std::string_view bytes) override
    {
        while (!bytes.empty() && m_socket.isOpen()) {
            const Result<std::size_t, MessageError> taken = m_reader.feed(bytes);
            if (!taken) {
                close();
                return;
            }
            bytes.remove_prefix(taken.value());
            if (m_reader.isComplete())
                answer();
        }
    }

    void onEnd(CloseReason) override { m_server.closed(*this); }

    void answer()
    {
        const RequestHead request = m_reader.head();
        m_reader = RequestReader(QuestionLimits);
        const SmallAnswer answer = m_server.m_handler(request);
        ResponseHead head;
        head.status = answer.status;
        head.headers.add("Content-Type", answer.contentType);
        if (!request.isKeepAlive)
            head.headers.add("Connection", "close");
        m_socket.send(writeResponseHead(head, {BodyFraming::Kind::Sized, answer.body.size()})
                      + answer.body);
        if (!request.isKeepAlive)
            m_socket.shutdownSend();
        startIdleTimer();
    }

    void startIdleTimer()
    {
        m_loop.cancel(m_idle);
        m_idle = m_loop.after(IdleLimit, [this] { close(); });
    }

    SmallHttpServer &m_server;
    EventLoop &m_loop;
    RequestReader m_reader {QuestionLimits};
    TimerId m_idle = 0;
    StreamSocket m_socket;
};

SmallHttpServer::SmallHttpServer(EventLoop &loop, Handler handler)
    : m_loop(loop), m_handler(std::move(handler))
{
}

SmallHttpServer::~SmallHttpServer() = default;

Result<std::unique_ptr<SmallHttpServer>, ListenError>
SmallHttpServer::open(EventLoop &loop, const Endpoint &address, Handler handler)
{
    std::unique_ptr<SmallHttpServer> server(new SmallHttpServer(loop, std::move(handler)));
    Result<std::unique_ptr<Listener>, ListenError> listener = Listener::open(
        loop, address, [raw = server.get()](int descriptor) { raw->accept(descriptor); });
    if (!listener)
        return listener.error();
    server->m_listener = std::move(listener).value();
    return server;
}

void SmallHttpServer::accept(int descriptor)
{
    m_connections.push_back(std::make_unique<Connection>(*this, descriptor));
    if (m_connections.size() > MostConnections)
        m_connections.front()->close();
}

void SmallHttpServer::closed(Connection &connection)
{
    const auto found
        = std::ranges::find(m_connections, &connection, &std::unique_ptr<Connection>::get);
    if (found == m_connections.end())
        return;
    // The connection is in the middle of one of its own calls; it goes when that is over.
    m_loop.defer([gone = std::shared_ptr<Connection>(std::move(*found))] {});
    m_connections.erase(found);
}

} // namespace Apricothook
