#include <apricothook/fleetview/apricothook_blocking_http_client.hpp>

#include <curl/curl.h>

#include <algorithm>
#include <mutex>
#include <utility>

namespace Apricothook {

namespace {

using SteadyClock = std::chrono::steady_clock;

/** Interval of the checks whether the thread is to stop. */
constexpr std::chrono::milliseconds StopCheckInterval {1000};

void initializeOnce()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_NOTHING); });
}

TransferEnd endOf(CURLcode code)
{
    switch (code) {
    case CURLE_OK:
        return TransferEnd::Complete;
    case CURLE_COULDNT_CONNECT:
        return TransferEnd::NotConnected;
    case CURLE_OPERATION_TIMEDOUT:
        return TransferEnd::TimedOut;
    default:
        return TransferEnd::Broken;
    }
}

} // namespace

BlockingHttpClient::BlockingHttpClient(const Endpoint &server,
                                       std::chrono::milliseconds connectTimeout,
                                       const std::atomic<bool> &stopping)
    : m_origin("http://" + server.text())
    , m_stopping(stopping)
    , m_handle((initializeOnce(), curl_easy_init()))
    , m_multi(curl_multi_init())
{
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
    curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(connectTimeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, appendHead);
}

BlockingHttpClient::~BlockingHttpClient()
{
    curl_easy_cleanup(m_handle);
    curl_multi_cleanup(m_multi);
}

void BlockingHttpClient::acceptGzip()
{
    curl_easy_setopt(m_handle, CURLOPT_ACCEPT_ENCODING, "gzip");
}

void BlockingHttpClient::closeConnection()
{
    curl_multi_cleanup(m_multi);
    m_multi = curl_multi_init();
}

std::size_t BlockingHttpClient::appendHead(char *, std::size_t size, std::size_t count,
                                           void *received)
{
    static_cast<Received *>(received)->bytes += size * count;
    return size * count;
}

std::size_t BlockingHttpClient::appendBody(char *bytes, std::size_t size, std::size_t count,
                                           void *received)
{
    auto *response = static_cast<Received *>(received);
    if (response->body.size() + size * count > LargestResponse)
        return 0;
    response->body.append(bytes, size * count);
    response->bytes += size * count;
    return size * count;
}

Transfer BlockingHttpClient::get(const std::string &path, const TransferLimits &limits)
{
    Received received;
    const std::string url = m_origin + path;
    curl_easy_setopt(m_handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, &received);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, &received);
    const SteadyClock::time_point started = SteadyClock::now();
    curl_multi_add_handle(m_multi, m_handle);
    const TransferEnd end = perform(received, limits);
    // Closes the connection of an incomplete transfer.
    curl_multi_remove_handle(m_multi, m_handle);
    curl_off_t bytes = 0;
    curl_easy_getinfo(m_handle, CURLINFO_SIZE_DOWNLOAD_T, &bytes);
    const TransferRecord record {
        end, static_cast<std::size_t>(bytes),
        std::chrono::duration_cast<Duration>(SteadyClock::now() - started)};
    if (end != TransferEnd::Complete)
        return {std::nullopt, record};
    long status = 0;
    curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
    return {SourceAnswer {static_cast<unsigned>(status), std::move(received.body)}, record};
}

TransferEnd BlockingHttpClient::perform(const Received &received, const TransferLimits &limits)
{
    const SteadyClock::time_point started = SteadyClock::now();
    SteadyClock::time_point lastProgress = started;
    std::size_t known = 0;
    while (true) {
        int running = 0;
        if (curl_multi_perform(m_multi, &running) != CURLM_OK || m_stopping)
            return TransferEnd::Broken;
        if (running == 0)
            return result();
        const SteadyClock::time_point now = SteadyClock::now();
        if (std::exchange(known, received.bytes) != received.bytes)
            lastProgress = now;
        const SteadyClock::time_point deadline = known == 0
            ? started + limits.firstByte
            : std::min(lastProgress + limits.pause, started + limits.total);
        if (now >= deadline)
            return TransferEnd::TimedOut;
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - now);
        curl_multi_poll(m_multi, nullptr, 0,
                        static_cast<int>(std::min(left, StopCheckInterval).count()), nullptr);
    }
}

TransferEnd BlockingHttpClient::result()
{
    int left = 0;
    const CURLMsg *message = curl_multi_info_read(m_multi, &left);
    return message ? endOf(message->data.result) : TransferEnd::Broken;
}

} // namespace Apricothook
