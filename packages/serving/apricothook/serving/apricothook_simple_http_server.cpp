#include <apricothook/serving/apricothook_simple_http_server.hpp>

#include <apricothook/eventloop/apricothook_stream_socket.hpp>
#include <apricothook/http1/apricothook_message_reader.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

/** The requests carry no body or a small one. */
constexpr MessageLimits RequestLimits {8192, 4096};
constexpr std::chrono::seconds IdleTimeout {30};
constexpr BufferSizes Buffers {.receive = 16384, .send = 131072};

} // namespace

class SimpleHttpServer::Connection : private StreamSocketEvents
{
public:
    Connection(SimpleHttpServer &server, int descriptor)
        : m_server(server), m_loop(server.m_loop), m_socket(m_loop, *this, descriptor)
    {
        startIdleTimer();
    }
    // May run after the server's destructor, as onClosed() defers the destruction to the loop.
    ~Connection() override { m_loop.cancel(m_idle); }

    void close()
    {
        m_socket.close();
        m_server.onClosed(*this);
    }

private:
    void onData(std::string_view bytes) override
    {
        m_input.append(bytes);
        readRequests();
    }

    void onDrained() override
    {
        m_socket.setReading(true);
        readRequests();
    }

    void readRequests()
    {
        while (!m_input.empty() && m_socket.isOpen()) {
            // Responses would pile up if the caller sent requests and read nothing.
            if (m_socket.unsentBytes() > 0) {
                m_socket.setReading(false);
                return;
            }
            const Result<std::size_t, MessageError> taken = m_reader.feed(m_input);
            if (!taken) {
                close();
                return;
            }
            m_input.erase(0, taken.value());
            if (m_reader.isComplete())
                respond();
        }
    }

    void onEnd(CloseReason) override { m_server.onClosed(*this); }

    void respond()
    {
        const RequestHead request = m_reader.head();
        m_reader = RequestReader(RequestLimits);
        const SimpleHttpResponse response = m_server.m_handler(request);
        ResponseHead head;
        head.status = response.status;
        head.headers.add("Content-Type", response.contentType);
        if (!response.contentEncoding.empty())
            head.headers.add("Content-Encoding", response.contentEncoding);
        if (!request.isKeepAlive)
            head.headers.add("Connection", "close");
        m_socket.send(writeResponseHead(head, {BodyFraming::Kind::Sized, response.body.size()})
                      + response.body);
        if (!request.isKeepAlive)
            m_socket.shutdownSend();
        startIdleTimer();
    }

    void startIdleTimer()
    {
        m_loop.cancel(m_idle);
        m_idle = m_loop.after(IdleTimeout, [this] { close(); });
    }

    SimpleHttpServer &m_server;
    EventLoop &m_loop;
    RequestReader m_reader {RequestLimits};
    std::string m_input;
    TimerId m_idle = 0;
    StreamSocket m_socket;
};

SimpleHttpServer::SimpleHttpServer(EventLoop &loop, Handler handler, std::size_t connections)
    : m_loop(loop), m_handler(std::move(handler)), m_mostConnections(connections)
{
}

SimpleHttpServer::~SimpleHttpServer() = default;

Result<std::unique_ptr<SimpleHttpServer>, ListenError>
SimpleHttpServer::open(EventLoop &loop, const Endpoint &address, Handler handler,
                       std::size_t connections)
{
    std::unique_ptr<SimpleHttpServer> server(
        new SimpleHttpServer(loop, std::move(handler), connections));
    Result<std::unique_ptr<Listener>, ListenError> listener = Listener::open(
        loop, address, [raw = server.get()](int descriptor) { raw->accept(descriptor); }, {},
        Buffers);
    if (!listener)
        return listener.error();
    server->m_listener = std::move(listener).value();
    return server;
}

void SimpleHttpServer::accept(int descriptor)
{
    m_connections.push_back(std::make_unique<Connection>(*this, descriptor));
    if (m_connections.size() > m_mostConnections)
        m_connections.front()->close();
}

void SimpleHttpServer::onClosed(Connection &connection)
{
    const auto found
        = std::ranges::find(m_connections, &connection, &std::unique_ptr<Connection>::get);
    if (found == m_connections.end())
        return;
    // The connection is still executing one of its own methods; destroys it after that.
    m_loop.defer([gone = std::shared_ptr<Connection>(std::move(*found))] {});
    m_connections.erase(found);
}

} // namespace Apricothook
