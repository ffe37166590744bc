#pragma once

#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <curl/curl.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace Apricothook {

enum class HttpError {
    Unreachable,
    TimedOut,
    TooLarge,
    Stopped, ///< The caller's stop flag was raised.
};

struct HttpAnswer
{
    int status = 0;
    std::string body;
};

/** What bounds one exchange. */
struct HttpBounds
{
    /** For the whole exchange: a silent connection ends here, not at the kernel's minutes. */
    Duration deadline = std::chrono::seconds(2);
    std::size_t maximumBytes = 0;
};

/**
 * HTTP exchanges over connections that are kept for the next one. For one thread; `stop` may be
 * raised by another and ends a waiting exchange within a second.
 */
class PlatformExchange
{
public:
    explicit PlatformExchange(const std::atomic<bool> &stop);

    Result<HttpAnswer, HttpError> fetch(const std::string &url, const HttpBounds &bounds);
    Result<HttpAnswer, HttpError> post(const std::string &url, const std::string &body,
                                       const HttpBounds &bounds);

private:
    Result<HttpAnswer, HttpError> perform(const std::string &url, const HttpBounds &bounds);

    const std::atomic<bool> &m_stop;
    std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> m_curl;
};

} // namespace Apricothook
