#include <apricothook/caller/internal/apricothook_caller_service.hpp>

#include <apricothook/model/apricothook_socket_address.hpp>

#include <sys/socket.h>

namespace Apricothook {

namespace {

using ExchangeHolder = std::shared_ptr<Exchange>;

/**
 * Several threads, as one that parses a body of megabytes would hold up the tokens of all others;
 * and resuming a connection looks through the suspended ones of its thread only.
 */
constexpr unsigned int Threads = 4;
/**
 * Holds the headers of both ways and what is being sent. Half of it is touched on every connection:
 * with 32 KiB a stream took 27 KB, with 16 KiB and smaller blocks 17 KB.
 */
constexpr std::size_t ConnectionBytes = 16UL * 1024;
constexpr unsigned int SilentSeconds = 30;
constexpr unsigned int Backlog = 1024;
/** The library's own limit is fixed at start and refuses without a word; ours comes before it. */
constexpr unsigned int ConnectionHeadroom = 2;

void *onUri(void *service, const char *uri, MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info
        = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    const auto number = reinterpret_cast<ConnectionNumber>(info->socket_context);
    ExchangeService &exchanges = static_cast<CallerService *>(service)->exchanges();
    return new ExchangeHolder(exchanges.begin(connection, number, uri));
}

MHD_Result onAccess(void *service, MHD_Connection *connection, const char * /*url*/,
                    const char *method, const char *version, const char *upload,
                    std::size_t *uploadSize, void **holder)
{
    const ExchangeHolder exchange = *static_cast<ExchangeHolder *>(*holder);
    ExchangeService &exchanges = static_cast<CallerService *>(service)->exchanges();
    const std::string_view piece(upload ? upload : "", *uploadSize);
    return exchanges.handle(connection, exchange, method, version, piece, *uploadSize);
}

void onCompleted(void *service, MHD_Connection * /*connection*/, void **holder,
                 MHD_RequestTerminationCode how)
{
    const std::unique_ptr<ExchangeHolder> exchange(static_cast<ExchangeHolder *>(*holder));
    *holder = nullptr;
    if (exchange)
        static_cast<CallerService *>(service)->exchanges().end(**exchange, how);
}

void onConnection(void *service, MHD_Connection *connection, void **context,
                  MHD_ConnectionNotificationCode what)
{
    auto *callerService = static_cast<CallerService *>(service);
    if (what == MHD_CONNECTION_NOTIFY_STARTED)
        callerService->connectionStarted(connection, context);
    else
        callerService->connectionClosed(context);
}

std::uint16_t boundPort(MHD_Daemon *daemon, std::uint16_t asked)
{
    const MHD_DaemonInfo *info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);
    return info && info->port != 0 ? info->port : asked;
}

} // namespace

CallerService::CallerService(Endpoint address, const CallerLimits &limits, const Clock &clock,
                             CoreInbox &inbox, EventSink &events)
    : m_address(std::move(address))
    , m_watch(clock, [this] { m_exchanges.record(CallerEvent::HeadersTooSlow); })
    , m_exchanges(limits, clock, inbox, events, m_watch)
{
    m_watch.setHeaderTimeout(limits.headerTimeout);
}

CallerService::~CallerService()
{
    stop();
}

Result<std::uint16_t, CallerServerError> CallerService::start()
{
    if (!socketAddressOf(m_address))
        return CallerServerError::BadAddress;
    if (!m_watch.start())
        return CallerServerError::NoDescriptors;
    m_daemon = listen();
    if (!m_daemon) {
        m_watch.stop();
        m_exchanges.record(CallerEvent::ListenFailed, "address=" + m_address.text());
        return CallerServerError::ListenFailed;
    }
    m_exchanges.operators().start();
    return boundPort(m_daemon, m_address.port);
}

MHD_Daemon *CallerService::listen()
{
    const sockaddr_storage address = *socketAddressOf(m_address);
    const unsigned int family = address.ss_family == AF_INET6 ? MHD_USE_IPv6 : 0;
    const unsigned int flags
        = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC | family;
    const unsigned int connections
        = m_exchanges.limits()->maximumConnections * ConnectionHeadroom + Threads;
    return MHD_start_daemon(
        flags, m_address.port, nullptr, nullptr, onAccess, this, MHD_OPTION_URI_LOG_CALLBACK, onUri,
        this, MHD_OPTION_NOTIFY_COMPLETED, onCompleted, this, MHD_OPTION_NOTIFY_CONNECTION,
        onConnection, this, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_THREAD_POOL_SIZE, Threads,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, ConnectionBytes, MHD_OPTION_CONNECTION_LIMIT,
        connections, MHD_OPTION_CONNECTION_TIMEOUT, SilentSeconds, MHD_OPTION_LISTEN_BACKLOG_SIZE,
        Backlog, MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
}

void CallerService::setLimits(const CallerLimits &limits)
{
    m_exchanges.setLimits(limits);
    m_watch.setHeaderTimeout(limits.headerTimeout);
}

void CallerService::stopAccepting()
{
    // MHD_quiesce_daemon isn't used: it takes the listening socket out of the epoll sets of threads
    // that do the same, and the library aborts the process when it comes second.
    m_exchanges.drain();
}

void CallerService::stop()
{
    if (!m_daemon)
        return;
    stopAccepting();
    // The library aborts the process when it is stopped with suspended connections.
    m_watch.breakOffAll();
    MHD_stop_daemon(m_daemon);
    m_daemon = nullptr;
    m_watch.stop();
    m_exchanges.operators().stop();
}

CallerCounts CallerService::counts() const
{
    return CallerCounts {m_watch.size(), m_exchanges.exchanges(), m_exchanges.heldBodyBytes()};
}

void CallerService::connectionStarted(MHD_Connection *connection, void **context)
{
    const MHD_ConnectionInfo *info
        = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    const std::size_t limit = m_exchanges.limits()->maximumConnections;
    const std::size_t open = m_watch.size();
    const bool isOverLimit = open >= limit;
    if (isOverLimit)
        m_exchanges.record(CallerEvent::ConnectionsFull,
                           "open=" + std::to_string(open) + " limit=" + std::to_string(limit));
    // The library keeps a pointer for us; ours is a number that nobody follows.
    // NOLINTNEXTLINE(performance-no-int-to-ptr)
    *context = reinterpret_cast<void *>(m_watch.add(info->connect_fd, isOverLimit));
}

void CallerService::connectionClosed(void **context)
{
    m_watch.remove(reinterpret_cast<ConnectionNumber>(*context));
}

} // namespace Apricothook
