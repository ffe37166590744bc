#include <apricothook/cli/apricothook_http_get.hpp>

#include <curl/curl.h>
#include <json/reader.h>

#include <memory>
#include <string>

namespace Apricothook {

namespace {

constexpr std::size_t MaximumAnswerBytes = 1'000'000;
constexpr long StatusOk = 200;

using CurlHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;

std::size_t appendBody(char *bytes, std::size_t size, std::size_t count, void *body)
{
    auto &text = *static_cast<std::string *>(body);
    const std::size_t length = size * count;
    if (text.size() + length > MaximumAnswerBytes)
        return 0;
    text.append(bytes, length);
    return length;
}

EntryAnswer parseBody(const std::string &body)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string told;
    try {
        if (reader->parse(body.data(), body.data() + body.size(), &value, &told))
            return value;
    } catch (const Json::Exception &failure) {
        told = failure.what();
    }
    return EntryFailure {EntryFailureKind::Malformed, told};
}

} // namespace

EntryAnswer httpGet(const std::string &url, long timeoutMilliseconds)
{
    const CurlHandle curl(curl_easy_init(), &curl_easy_cleanup);
    if (!curl)
        return EntryFailure {EntryFailureKind::Unreachable, "no memory for a connection"};
    std::string body;
    curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS, timeoutMilliseconds);
    curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &body);
    const CURLcode code = curl_easy_perform(curl.get());
    if (code == CURLE_WRITE_ERROR)
        return EntryFailure {EntryFailureKind::Malformed, "the answer is too large"};
    if (code != CURLE_OK)
        return EntryFailure {EntryFailureKind::Unreachable, curl_easy_strerror(code)};
    long status = 0;
    curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
    if (status != StatusOk)
        return EntryFailure {EntryFailureKind::Refused, "HTTP status " + std::to_string(status)};
    return parseBody(body);
}

} // namespace Apricothook
