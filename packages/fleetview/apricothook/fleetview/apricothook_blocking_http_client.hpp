#pragma once

#include <apricothook/fleetview/apricothook_item_protocol.hpp>
#include <apricothook/model/apricothook_endpoint.hpp>

#include <atomic>
#include <optional>
#include <string>

namespace Apricothook {

/** GET requests to one server, one at a time, on a kept connection; for one thread. */
class BlockingHttpClient
{
public:
    /** Largest answer; a page of items is about a megabyte. */
    static constexpr std::size_t LargestAnswer = 16 << 20;

    /** A call ends early when `stopping` becomes true. */
    BlockingHttpClient(const Endpoint &server, std::chrono::milliseconds connectTime,
                       const std::atomic<bool> &stopping);
    ~BlockingHttpClient();
    BlockingHttpClient(const BlockingHttpClient &) = delete;
    BlockingHttpClient &operator=(const BlockingHttpClient &) = delete;

    /** Nothing when no whole answer came in time. */
    std::optional<SourceAnswer> get(const std::string &path, std::chrono::milliseconds time);

private:
    const std::string m_origin;
    const std::atomic<bool> &m_stopping;
    void *const m_handle;
};

} // namespace Apricothook
