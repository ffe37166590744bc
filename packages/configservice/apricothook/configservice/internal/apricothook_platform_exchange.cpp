#include <apricothook/configservice/internal/apricothook_platform_exchange.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr long ConnectMilliseconds = 1000;

struct Receiver
{
    std::string body;
    std::size_t maximum = 0;
    bool isTooLarge = false;
};

std::size_t receive(char *bytes, std::size_t size, std::size_t count, void *context)
{
    auto &receiver = *static_cast<Receiver *>(context);
    const std::size_t total = size * count;
    if (receiver.body.size() + total > receiver.maximum) {
        receiver.isTooLarge = true;
        return 0;
    }
    receiver.body.append(bytes, total);
    return total;
}

int watchStop(void *context, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
    return static_cast<const std::atomic<bool> *>(context)->load() ? 1 : 0;
}

HttpError errorOf(CURLcode code, const Receiver &receiver)
{
    if (receiver.isTooLarge)
        return HttpError::TooLarge;
    if (code == CURLE_ABORTED_BY_CALLBACK)
        return HttpError::Stopped;
    return code == CURLE_OPERATION_TIMEDOUT ? HttpError::TimedOut : HttpError::Unreachable;
}

void initialiseOnce()
{
    static const CURLcode Code = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(Code);
}

CURL *newHandle()
{
    initialiseOnce();
    return curl_easy_init();
}

} // namespace

PlatformExchange::PlatformExchange(const std::atomic<bool> &stop)
    : m_stop(stop), m_curl(newHandle(), &curl_easy_cleanup)
{
}

Result<HttpAnswer, HttpError> PlatformExchange::fetch(const std::string &url,
                                                      const HttpBounds &bounds)
{
    curl_easy_reset(m_curl.get());
    return perform(url, bounds);
}

Result<HttpAnswer, HttpError>
PlatformExchange::post(const std::string &url, const std::string &body, const HttpBounds &bounds)
{
    curl_easy_reset(m_curl.get());
    const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(
        curl_slist_append(curl_slist_append(nullptr, "Content-Type: application/json"),
                          // Without this the library waits a second for "100 Continue".
                          "Expect:"),
        &curl_slist_free_all);
    curl_easy_setopt(m_curl.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(m_curl.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    curl_easy_setopt(m_curl.get(), CURLOPT_POSTFIELDS, body.c_str());
    return perform(url, bounds);
}

Result<HttpAnswer, HttpError> PlatformExchange::perform(const std::string &url,
                                                        const HttpBounds &bounds)
{
    CURL *curl = m_curl.get();
    Receiver receiver {{}, bounds.maximumBytes, false};
    const auto deadline = std::max<long>(
        1, std::chrono::duration_cast<std::chrono::milliseconds>(bounds.deadline).count());
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, deadline);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, std::min(ConnectMilliseconds, deadline));
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &receive);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &receiver);
    curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, &watchStop);
    curl_easy_setopt(curl, CURLOPT_XFERINFODATA, &m_stop);
    const CURLcode code = curl_easy_perform(curl);
    if (code != CURLE_OK)
        return errorOf(code, receiver);
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    return HttpAnswer {static_cast<int>(status), std::move(receiver.body)};
}

} // namespace Apricothook
