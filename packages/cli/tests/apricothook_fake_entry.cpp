#include "apricothook_fake_entry.hpp"

#include <arpa/inet.h>

#include <utility>

namespace Apricothook {

FakeEntry::FakeEntry(unsigned int status, std::string body)
    : m_status(status), m_body(std::move(body))
{
    sockaddr_in loopback {};
    loopback.sin_family = AF_INET;
    loopback.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_daemon = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, nullptr, nullptr, &answer, this,
                                MHD_OPTION_SOCK_ADDR, &loopback, MHD_OPTION_NOTIFY_COMPLETED,
                                &forget, this, MHD_OPTION_END);
}

FakeEntry::~FakeEntry()
{
    MHD_stop_daemon(m_daemon);
}

Endpoint FakeEntry::address() const
{
    return {"127.0.0.1", MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port};
}

std::vector<std::string> FakeEntry::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

MHD_Result FakeEntry::answer(void *self, MHD_Connection *connection, const char *url,
                             const char *method, const char *, const char *upload,
                             std::size_t *uploadSize, void **request)
{
    if (!*request) {
        *request = new std::string(std::string(method) + " " + url + " ");
        return MHD_YES;
    }
    auto &text = *static_cast<std::string *>(*request);
    if (*uploadSize != 0) {
        text.append(upload, *uploadSize);
        *uploadSize = 0;
        return MHD_YES;
    }
    auto &entry = *static_cast<FakeEntry *>(self);
    {
        const std::lock_guard lock(entry.m_mutex);
        entry.m_requests.push_back(text);
    }
    MHD_Response *response = MHD_create_response_from_buffer(
        entry.m_body.size(), entry.m_body.data(), MHD_RESPMEM_PERSISTENT);
    const MHD_Result result = MHD_queue_response(connection, entry.m_status, response);
    MHD_destroy_response(response);
    return result;
}

void FakeEntry::forget(void *, MHD_Connection *, void **request, MHD_RequestTerminationCode)
{
    delete static_cast<std::string *>(*request);
}

} // namespace Apricothook
