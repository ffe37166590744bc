#pragma once

#include <apricothook/fleetview/apricothook_item_protocol.hpp>
#include <apricothook/model/apricothook_endpoint.hpp>

#include <atomic>
#include <optional>
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

    /** Returns nothing if no complete response arrived in time. */
    std::optional<SourceAnswer> get(const std::string &path, std::chrono::milliseconds timeout);

private:
    const std::string m_origin;
    const std::atomic<bool> &m_stopping;
    void *const m_handle;
};

} // namespace Apricothook
