#include <apricothook/testing/apricothook_http_host.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <microhttpd.h>
#include <system_error>

namespace Apricothook {

namespace {

constexpr std::size_t ThreadStackBytes = 256UL * 1024;
constexpr std::size_t StreamBlockBytes = 16UL * 1024;
constexpr unsigned ConnectionLimit = 4000;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

MHD_Result collectHeader(void *map, MHD_ValueKind, const char *key, const char *value)
{
    auto &headers = *static_cast<std::map<std::string, std::string> *>(map);
    headers[lowerCase(key)] = value ? value : "";
    return MHD_YES;
}

MHD_Result collectArgument(void *map, MHD_ValueKind, const char *key, const char *value)
{
    (*static_cast<std::map<std::string, std::string> *>(map))[key] = value ? value : "";
    return MHD_YES;
}

ssize_t readStream(void *source, std::uint64_t offset, char *buffer, std::size_t size)
{
    auto &stream = *static_cast<std::shared_ptr<BodySource> *>(source);
    const std::ptrdiff_t count = stream->read(offset, buffer, size);
    if (count == BodySource::End)
        return MHD_CONTENT_READER_END_OF_STREAM;
    return count < 0 ? MHD_CONTENT_READER_END_WITH_ERROR : count;
}

void freeStream(void *source)
{
    delete static_cast<std::shared_ptr<BodySource> *>(source);
}

MHD_Response *responseOf(HttpReply &reply)
{
    if (reply.stream)
        return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, StreamBlockBytes, readStream,
                                                 new std::shared_ptr<BodySource>(reply.stream),
                                                 freeStream);
    return MHD_create_response_from_buffer(reply.body.size(), reply.body.data(),
                                           MHD_RESPMEM_MUST_COPY);
}

MHD_Result send(MHD_Connection *connection, HttpReply reply)
{
    if (reply.isClosing)
        return MHD_NO;
    MHD_Response *response = responseOf(reply);
    for (const auto &[name, value] : reply.headers)
        MHD_add_response_header(response, name.c_str(), value.c_str());
    const MHD_Result result
        = MHD_queue_response(connection, static_cast<unsigned>(reply.status), response);
    MHD_destroy_response(response);
    return result;
}

MHD_Result answer(void *handler, MHD_Connection *connection, const char *url, const char *method,
                  const char *, const char *data, std::size_t *size, void **state)
{
    if (!*state) {
        *state = new HttpRequest {
            .method = method, .path = url, .headers = {}, .query = {}, .body = {}};
        return MHD_YES;
    }
    auto &request = *static_cast<HttpRequest *>(*state);
    if (*size > 0) {
        request.body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    MHD_get_connection_values(connection, MHD_HEADER_KIND, collectHeader, &request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, collectArgument, &request.query);
    return send(connection, static_cast<HttpHandler *>(handler)->handle(request));
}

void complete(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode)
{
    delete static_cast<HttpRequest *>(*state);
    *state = nullptr;
}

} // namespace

std::string HttpRequest::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::uint64_t HttpRequest::number(const std::string &argument, std::uint64_t fallback) const
{
    const auto found = query.find(argument);
    return found == query.end() ? fallback : std::strtoull(found->second.c_str(), nullptr, 10);
}

HttpHost::HttpHost(std::uint16_t port, HttpHandler &handler)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL, port,
        nullptr, nullptr, answer, &handler, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_NOTIFY_COMPLETED, complete, nullptr, MHD_OPTION_CONNECTION_LIMIT,
        ConnectionLimit, MHD_OPTION_THREAD_STACK_SIZE, ThreadStackBytes, MHD_OPTION_END);
    if (!m_daemon)
        throw std::system_error(errno, std::generic_category(), "stand-in port");
    m_port = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

HttpHost::~HttpHost()
{
    MHD_stop_daemon(m_daemon);
}

} // namespace Apricothook
