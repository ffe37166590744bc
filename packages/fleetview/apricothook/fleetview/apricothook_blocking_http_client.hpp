#pragma once

#include <apricothook/fleetview/apricothook_transfer.hpp>
#include <apricothook/model/apricothook_endpoint.hpp>

#include <atomic>
#include <string>

namespace Apricothook {

/** Sends GET requests to one server over a persistent connection. Not thread-safe. */
class BlockingHttpClient
{
public:
    /** Largest accepted response body; a page of items is about a megabyte. */
    static constexpr std::size_t LargestResponse = 16 << 20;

    /** Requests in progress are aborted when `stopping` becomes true. */
    BlockingHttpClient(const Endpoint &server, std::chrono::milliseconds connectTimeout,
                       const std::atomic<bool> &stopping);
    ~BlockingHttpClient();
    BlockingHttpClient(const BlockingHttpClient &) = delete;
    BlockingHttpClient &operator=(const BlockingHttpClient &) = delete;

    /** The response is empty if it didn't arrive completely in time. */
    Transfer get(const std::string &path, std::chrono::milliseconds timeout);

private:
    const std::string m_origin;
    const std::atomic<bool> &m_stopping;
    void *const m_handle;
};

} // namespace Apricothook
