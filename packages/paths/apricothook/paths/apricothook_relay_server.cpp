#include <apricothook/paths/apricothook_relay_server.hpp>

#include <apricothook/http1/apricothook_message_reader.hpp>
#include <apricothook/model/apricothook_socket_address.hpp>
#include <apricothook/paths/apricothook_paths_event.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

constexpr MessageLimits RequestLimits {4096, 0};
/** A daemon sends its request at once. */
constexpr std::chrono::seconds RequestTime {1};
/** How long the other daemon may take to read the last bytes. */
constexpr std::chrono::seconds LingerTime {1};
/** Unsent bytes in one direction above which the other end is no longer read. */
constexpr std::size_t MaxUnsentBytes = 1 << 16;

} // namespace

/** One connection of another daemon, and the connection to a target that it asks for. */
class RelayServer::Session : private StreamSocketEvents
{
public:
    Session(RelayServer &server, int descriptor, std::string source)
        : m_server(server)
        , m_loop(server.m_context.loop)
        , m_source(std::move(source))
        , m_origin(m_loop, *this, descriptor)
    {
        startTimer(RequestTime, [this] { close(); });
    }
    // May run after the server's destructor, as onClosed() defers the destruction to the loop.
    ~Session() override { m_loop.cancel(m_timer); }

    void close()
    {
        m_loop.cancel(m_timer);
        m_origin.abort();
        if (m_target)
            m_target->socket.abort();
        m_server.onClosed(*this);
    }
    bool isCarrying() const { return m_isCarrying; }
    void logEnd() const
    {
        m_server.m_context.log.write(LogEvent(PathsEvent::RelayEnded)
                                         .markRoutine()
                                         .forRequest(m_request.request)
                                         .with("daemon", m_source)
                                         .with("target", m_request.target.id.text())
                                         .with("bytes_to_target", m_bytesToTarget)
                                         .with("bytes_from_target", m_bytesFromTarget));
    }

private:
    /** The target's end. */
    struct Target : StreamSocketEvents
    {
        Target(Session &owner, const Endpoint &to, const std::string &from)
            : session(owner), socket(owner.m_loop, *this, to, from)
        {
        }
        void onConnected() override { session.onTargetConnected(); }
        void onData(std::string_view bytes) override { session.onTargetData(bytes); }
        void onEnd(CloseReason end) override { session.onTargetEnd(end); }
        void onDrained() override { session.m_origin.setReading(true); }

        Session &session;
        StreamSocket socket;
    };

    void onData(std::string_view bytes) override
    {
        if (m_isCarrying) {
            m_bytesToTarget += bytes.size();
            m_target->socket.send(bytes);
            if (m_target->socket.unsentBytes() > MaxUnsentBytes)
                m_origin.setReading(false);
            return;
        }
        const Result<std::size_t, MessageError> taken = m_reader.feed(bytes);
        // Nothing may follow the request until it is answered.
        if (m_hasRequest || !taken || taken.value() < bytes.size()) {
            close();
            return;
        }
        if (m_reader.isComplete())
            begin();
    }
    void onEnd(CloseReason) override { close(); }
    void onDrained() override
    {
        if (m_target)
            m_target->socket.setReading(true);
    }

    void begin()
    {
        m_hasRequest = true;
        m_loop.cancel(m_timer);
        const Result<RelayRequest, RelayRequestError> request = parseRelayRequest(m_reader.head());
        if (!request) {
            answer(RelayOutcome::Failed);
            return;
        }
        m_request = request.value();
        const Result<TargetEntry, RelayOutcome> target = m_server.targetOf(m_request);
        if (!target) {
            answer(target.error());
            return;
        }
        if (m_request.service == RelayService::Test)
            test(target.value());
        else
            connect(target.value());
    }

    void test(const TargetEntry &target)
    {
        m_server.m_tester.test(target, [this, alive = std::weak_ptr(m_alive)](RelayOutcome found) {
            if (!alive.expired() && m_origin.isOpen())
                answer(found);
        });
    }

    void connect(const TargetEntry &target)
    {
        m_target = std::make_unique<Target>(*this, target.address, m_server.m_context.from);
        startTimer(ConnectionProbe::ProbeTime, [this] {
            m_target->socket.abort();
            answer(RelayOutcome::TargetSilent);
        });
    }

    void onTargetConnected()
    {
        m_loop.cancel(m_timer);
        m_isCarrying = true;
        ++m_server.m_sessions;
        ResponseHead head;
        head.status = statusOf(RelayOutcome::Reached);
        m_origin.send(writeResponseHead(head, {BodyFraming::Kind::Chunked, 0}));
        m_server.m_context.log.write(LogEvent(PathsEvent::RelayOpened)
                                         .markRoutine()
                                         .forRequest(m_request.request)
                                         .with("daemon", m_source)
                                         .with("target", m_request.target.id.text())
                                         .with("sessions", m_server.m_sessions));
    }

    void onTargetData(std::string_view bytes)
    {
        m_bytesFromTarget += bytes.size();
        m_origin.send(writeChunk(bytes));
        if (m_origin.unsentBytes() > MaxUnsentBytes)
            m_target->socket.setReading(false);
    }

    void onTargetEnd(CloseReason end)
    {
        if (!m_isCarrying) {
            m_loop.cancel(m_timer);
            answer(RelayOutcome::TargetRefuses);
            return;
        }
        // Without the last chunk the other daemon takes the target's bytes for incomplete.
        if (end != CloseReason::PeerClosed) {
            close();
            return;
        }
        m_origin.send(LastChunk);
        linger();
    }

    void answer(RelayOutcome outcome)
    {
        if (outcome != RelayOutcome::Reached) {
            m_server.m_context.log.write(LogEvent(PathsEvent::RelayRefused)
                                             .markRoutine()
                                             .forRequest(m_request.request)
                                             .with("daemon", m_source)
                                             .with("target", m_request.target.id.text())
                                             .with("reason", std::string(nameOf(outcome))));
        }
        ResponseHead head;
        head.status = statusOf(outcome);
        head.headers.add("Connection", "close");
        m_origin.send(writeResponseHead(head, {BodyFraming::Kind::Sized, 0}));
        linger();
    }

    void linger()
    {
        m_origin.shutdownSend();
        startTimer(LingerTime, [this] { close(); });
    }

    void startTimer(Duration delay, std::function<void()> action)
    {
        m_loop.cancel(m_timer);
        m_timer = m_loop.after(delay, [this, action = std::move(action)] {
            m_timer = 0;
            action();
        });
    }

    RelayServer &m_server;
    EventLoop &m_loop;
    const std::string m_source;
    RelayRequest m_request;
    RequestReader m_reader {RequestLimits};
    bool m_hasRequest = false;
    bool m_isCarrying = false;
    std::size_t m_bytesToTarget = 0;
    std::size_t m_bytesFromTarget = 0;
    TimerId m_timer = 0;
    std::unique_ptr<Target> m_target;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    StreamSocket m_origin;
};

RelayServer::RelayServer(RelayServerContext context, RandomSource &random)
    : m_context(std::move(context))
    , m_tester(m_context.loop, m_context.targets, random, m_context.from)
{
}

RelayServer::~RelayServer() = default;

Result<void, ListenError> RelayServer::listen(const Endpoint &address)
{
    Result<std::unique_ptr<Listener>, ListenError> opened
        = Listener::open(m_context.loop, address, [this](int descriptor) { accept(descriptor); });
    if (!opened)
        return opened.error();
    m_listener = std::move(opened).value();
    return Outcomes::success();
}

void RelayServer::accept(int descriptor)
{
    const std::string source = peerAddressOf(descriptor);
    const bool isKnown = m_context.peers.isDaemon(source);
    m_connections.push_back(std::make_unique<Session>(*this, descriptor, source));
    if (!isKnown)
        m_context.log.write(LogEvent(PathsEvent::RelayStranger).with("source", source));
    if (!isKnown || m_connections.size() > MaximumConnections)
        m_connections.back()->close();
}

void RelayServer::onClosed(Session &session)
{
    const auto found = std::ranges::find(m_connections, &session, &std::unique_ptr<Session>::get);
    if (found == m_connections.end())
        return;
    if (session.isCarrying()) {
        --m_sessions;
        session.logEnd();
    }
    // The session is still executing one of its own functions; it is destroyed after that.
    m_context.loop.defer([gone = std::shared_ptr<Session>(std::move(*found))] {});
    m_connections.erase(found);
}

Result<TargetEntry, RelayOutcome> RelayServer::targetOf(const RelayRequest &request) const
{
    const TrackedTarget *target = m_context.targets.find(request.target.id);
    const bool isSame = target && target->entry.instance() == request.target
        && target->entry.address == request.address;
    if (!isSame)
        return RelayOutcome::UnknownTarget;
    if (request.service == RelayService::Test)
        return target->entry;
    if (m_isDraining || m_sessions >= MaximumSessions)
        return RelayOutcome::Busy;
    if (m_context.paths.state(request.target) != PathState::Trusted)
        return RelayOutcome::NoPath;
    return target->entry;
}

} // namespace Apricothook
