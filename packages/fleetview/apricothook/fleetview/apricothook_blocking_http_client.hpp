#pragma once

#include <apricothook/fleetview/apricothook_transfer.hpp>
#include <apricothook/model/apricothook_endpoint.hpp>

#include <atomic>
#include <chrono>
#include <string>

namespace Apricothook {

/**
 * Time limits of a transfer. What a link carries in a given time depends on its size and on other
 * traffic, so a response that keeps arriving is not aborted before `total`.
 */
struct TransferLimits
{
    /** Time until the first byte of the response, including the time to connect. */
    std::chrono::milliseconds firstByte;
    /** Longest pause within the response. */
    std::chrono::milliseconds pause;
    /** Time for the whole transfer, which bounds a server that sends very little at a time. */
    std::chrono::milliseconds total = std::chrono::seconds(10);
};

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

    /** Accepts responses compressed with gzip, and decompresses them. */
    void acceptGzip();
    /** The next request opens a new connection. */
    void closeConnection();
    /** The response is empty if it didn't arrive completely in time. */
    Transfer get(const std::string &path, const TransferLimits &limits);

private:
    /** A response as far as it has been received. */
    struct Received
    {
        std::string body;
        /** Including the head. */
        std::size_t bytes = 0;
    };

    static std::size_t appendHead(char *bytes, std::size_t size, std::size_t count, void *received);
    static std::size_t appendBody(char *bytes, std::size_t size, std::size_t count, void *received);
    TransferEnd perform(const Received &received, const TransferLimits &limits);
    /** Result of a transfer that curl has completed. */
    TransferEnd result();

    const std::string m_origin;
    const std::atomic<bool> &m_stopping;
    void *const m_handle;
    /** Keeps the connection between requests. */
    void *m_multi;
};

} // namespace Apricothook
