#include <apricothook/observe/apricothook_metrics_server.hpp>

#include <apricothook/model/apricothook_socket_address.hpp>
#include <apricothook/observe/apricothook_health_source.hpp>
#include <apricothook/observe/apricothook_metrics.hpp>

#include <microhttpd.h>

#include <optional>
#include <string>
#include <string_view>

namespace Apricothook {

namespace {

constexpr unsigned int MaximumConnections = 16;
constexpr unsigned int IdleTimeoutSeconds = 10;

struct HttpResponse
{
    unsigned int status;
    std::string body;
};

HttpResponse healthResponse(bool isGood)
{
    return isGood ? HttpResponse {MHD_HTTP_OK, "yes\n"}
                  : HttpResponse {MHD_HTTP_SERVICE_UNAVAILABLE, "no\n"};
}

MHD_Result send(MHD_Connection *connection, const HttpResponse &page)
{
    // libmicrohttpd copies the buffer and never writes through the pointer.
    MHD_Response *response = MHD_create_response_from_buffer(
        page.body.size(), const_cast<char *>(page.body.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", "text/plain; version=0.0.4; charset=utf-8");
    const MHD_Result queued = MHD_queue_response(connection, page.status, response);
    MHD_destroy_response(response);
    return queued;
}

} // namespace

/** Request handlers of the server. */
struct MetricsRequestHandler
{
    static HttpResponse page(const MetricsServer &server, std::string_view method,
                             std::string_view path)
    {
        if (method != "GET")
            return {MHD_HTTP_METHOD_NOT_ALLOWED, ""};
        if (path == "/metrics")
            return {MHD_HTTP_OK, server.m_metrics.text()};
        if (path == "/healthz")
            return healthResponse(server.m_health.isAlive());
        if (path == "/readyz")
            return healthResponse(server.m_health.isReady());
        return {MHD_HTTP_NOT_FOUND, ""};
    }

    static MHD_Result onAccess(void *server, MHD_Connection *connection, const char *path,
                               const char *method, const char * /*version*/,
                               const char * /*upload*/, std::size_t *uploadSize, void **seen)
    {
        // libmicrohttpd calls first for the headers and then for the body, which is discarded.
        const bool isFirst = *seen == nullptr;
        *seen = server;
        if (isFirst || *uploadSize > 0) {
            *uploadSize = 0;
            return MHD_YES;
        }
        return send(connection, page(*static_cast<MetricsServer *>(server), method, path));
    }
};

MetricsServer::MetricsServer(Endpoint address, const Metrics &metrics, const HealthSource &health)
    : m_address(std::move(address)), m_metrics(metrics), m_health(health)
{
}

MetricsServer::~MetricsServer()
{
    stop();
}

Result<std::uint16_t, MetricsServerError> MetricsServer::start()
{
    const std::optional<sockaddr_storage> address = socketAddressOf(m_address);
    if (!address)
        return MetricsServerError::BadAddress;
    const unsigned int family = address->ss_family == AF_INET6 ? MHD_USE_IPv6 : 0;
    m_daemon
        = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | family, m_address.port, nullptr, nullptr,
                           MetricsRequestHandler::onAccess, this, MHD_OPTION_SOCK_ADDR, &*address,
                           MHD_OPTION_CONNECTION_LIMIT, MaximumConnections,
                           MHD_OPTION_CONNECTION_TIMEOUT, IdleTimeoutSeconds, MHD_OPTION_END);
    if (!m_daemon)
        return MetricsServerError::ListenFailed;
    const MHD_DaemonInfo *info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT);
    return info && info->port != 0 ? info->port : m_address.port;
}

void MetricsServer::stop()
{
    if (m_daemon)
        MHD_stop_daemon(m_daemon);
    m_daemon = nullptr;
}

} // namespace Apricothook
