#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>

#include <microhttpd.h>

#include <mutex>
#include <string>
#include <vector>

namespace Apricothook {

/** A daemon's caller address on loopback that gives one answer to everything. */
class FakeEntry
{
public:
    FakeEntry(unsigned int status, std::string body);
    ~FakeEntry();
    FakeEntry(const FakeEntry &) = delete;
    FakeEntry &operator=(const FakeEntry &) = delete;

    Endpoint address() const;
    /** "METHOD PATH BODY" of each request so far. */
    std::vector<std::string> requests() const;

private:
    static MHD_Result answer(void *self, MHD_Connection *connection, const char *url,
                             const char *method, const char *version, const char *upload,
                             std::size_t *uploadSize, void **request);
    static void forget(void *self, MHD_Connection *connection, void **request,
                       MHD_RequestTerminationCode code);

    unsigned int m_status;
    std::string m_body;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    MHD_Daemon *m_daemon = nullptr;
};

} // namespace Apricothook
