#include <apricothook/fleetview/apricothook_blocking_http_client.hpp>

#include <curl/curl.h>

#include <mutex>
#include <utility>

namespace Apricothook {

namespace {

void initializeOnce()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_NOTHING); });
}

std::size_t appendBody(char *bytes, std::size_t size, std::size_t count, void *body)
{
    auto *text = static_cast<std::string *>(body);
    if (text->size() + size * count > BlockingHttpClient::LargestResponse)
        return 0;
    text->append(bytes, size * count);
    return size * count;
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

int isStopRequested(void *stopping, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
    return static_cast<const std::atomic<bool> *>(stopping)->load() ? 1 : 0;
}

} // namespace

BlockingHttpClient::BlockingHttpClient(const Endpoint &server,
                                       std::chrono::milliseconds connectTimeout,
                                       const std::atomic<bool> &stopping)
    : m_origin("http://" + server.text())
    , m_stopping(stopping)
    , m_handle((initializeOnce(), curl_easy_init()))
{
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
    curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(connectTimeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(m_handle, CURLOPT_XFERINFOFUNCTION, isStopRequested);
    curl_easy_setopt(m_handle, CURLOPT_XFERINFODATA, const_cast<std::atomic<bool> *>(&m_stopping));
    curl_easy_setopt(m_handle, CURLOPT_NOPROGRESS, 0L);
}

BlockingHttpClient::~BlockingHttpClient()
{
    curl_easy_cleanup(m_handle);
}

Transfer BlockingHttpClient::get(const std::string &path, std::chrono::milliseconds timeout)
{
    SourceAnswer response;
    const std::string url = m_origin + path;
    curl_easy_setopt(m_handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, &response.body);
    const TransferEnd end = endOf(curl_easy_perform(m_handle));
    curl_off_t took = 0;
    curl_easy_getinfo(m_handle, CURLINFO_TOTAL_TIME_T, &took);
    const TransferRecord record {end, response.body.size(), std::chrono::microseconds(took)};
    if (end != TransferEnd::Complete)
        return {std::nullopt, record};
    long status = 0;
    curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<unsigned>(status);
    return {std::move(response), record};
}

} // namespace Apricothook
