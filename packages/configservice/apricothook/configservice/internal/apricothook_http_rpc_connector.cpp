#include <apricothook/configservice/internal/apricothook_http_rpc_connector.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <exception>
#include <memory>
#include <string_view>

namespace Apricothook {

namespace {

constexpr unsigned Threads = 4;
constexpr unsigned MaximumConnections = 64;
/** One stranger must not take all connections from the members. */
constexpr unsigned MaximumPerAddress = 8;
constexpr unsigned IdleSeconds = 10;
/** Calls name a text's pieces or a key; only answers are long. */
constexpr std::size_t MaximumCallBytes = 64UL * 1024;
constexpr std::size_t ConnectionMemory = 16UL * 1024;

struct Call
{
    std::string body;
    std::string response;
    bool isTooLarge = false;
};

/** The address in the form that sockets take. */
class SocketAddress
{
public:
    explicit SocketAddress(const Endpoint &endpoint)
    {
        auto *v4 = reinterpret_cast<sockaddr_in *>(&m_storage);
        auto *v6 = reinterpret_cast<sockaddr_in6 *>(&m_storage);
        if (inet_pton(AF_INET, endpoint.address.c_str(), &v4->sin_addr) == 1) {
            v4->sin_family = AF_INET;
            v4->sin_port = htons(endpoint.port);
        } else if (inet_pton(AF_INET6, endpoint.address.c_str(), &v6->sin6_addr) == 1) {
            v6->sin6_family = AF_INET6;
            v6->sin6_port = htons(endpoint.port);
        }
    }
    bool isV6() const { return m_storage.ss_family == AF_INET6; }
    bool isValid() const { return m_storage.ss_family != 0; }
    const sockaddr *get() const { return reinterpret_cast<const sockaddr *>(&m_storage); }

private:
    sockaddr_storage m_storage {};
};

} // namespace

bool HttpRpcConnector::StartListening()
{
    const SocketAddress address(m_address);
    if (m_daemon || !address.isValid())
        return false;
    unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD;
    if (address.isV6())
        flags |= MHD_USE_IPv6;
    m_daemon = MHD_start_daemon(
        flags, m_address.port, nullptr, nullptr, &HttpRpcConnector::serve, this,
        MHD_OPTION_SOCK_ADDR, address.get(), MHD_OPTION_THREAD_POOL_SIZE, Threads,
        MHD_OPTION_CONNECTION_LIMIT, MaximumConnections, MHD_OPTION_PER_IP_CONNECTION_LIMIT,
        MaximumPerAddress, MHD_OPTION_CONNECTION_TIMEOUT, IdleSeconds,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, ConnectionMemory, MHD_OPTION_NOTIFY_COMPLETED,
        &HttpRpcConnector::complete, this, MHD_OPTION_END);
    return m_daemon != nullptr;
}

bool HttpRpcConnector::StopListening()
{
    if (!m_daemon)
        return false;
    MHD_stop_daemon(m_daemon);
    m_daemon = nullptr;
    return true;
}

bool HttpRpcConnector::SendResponse(const std::string &response, void *context)
{
    static_cast<Call *>(context)->response = response;
    return true;
}

MHD_Result HttpRpcConnector::serve(void *self, MHD_Connection *connection, const char *,
                                   const char *method, const char *, const char *bytes,
                                   std::size_t *size, void **context)
{
    if (std::string_view(method) != "POST")
        return MHD_NO;
    if (!*context) {
        *context = std::make_unique<Call>().release();
        return MHD_YES;
    }
    Call &call = *static_cast<Call *>(*context);
    if (*size > 0) {
        // Without the bound a stranger could fill the memory before any seal is checked.
        call.isTooLarge = call.isTooLarge || call.body.size() + *size > MaximumCallBytes;
        if (call.isTooLarge)
            return MHD_NO;
        call.body.append(bytes, *size);
        *size = 0;
        return MHD_YES;
    }
    auto &connector = *static_cast<HttpRpcConnector *>(self);
    try {
        connector.OnRequest(call.body, &call);
    } catch (const std::exception &) {
        // A document that the library's reader chokes on must cost its sender the connection, not
        // this process its life: no exception may pass through the C callback.
        return MHD_NO;
    }
    return connector.answer(connection, call.response);
}

void HttpRpcConnector::complete(void *, MHD_Connection *, void **context,
                                MHD_RequestTerminationCode)
{
    const std::unique_ptr<Call> call(static_cast<Call *>(*context));
    *context = nullptr;
}

MHD_Result HttpRpcConnector::answer(MHD_Connection *connection, const std::string &body)
{
    const std::unique_ptr<MHD_Response, decltype(&MHD_destroy_response)> response(
        MHD_create_response_from_buffer(body.size(), const_cast<char *>(body.data()),
                                        MHD_RESPMEM_MUST_COPY),
        &MHD_destroy_response);
    MHD_add_response_header(response.get(), "Content-Type", "application/json");
    return MHD_queue_response(connection, MHD_HTTP_OK, response.get());
}

} // namespace Apricothook
