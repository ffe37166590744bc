#include <apricothook/testing/load/apricothook_load_client.hpp>

#include <algorithm>
#include <cctype>
#include <curl/curl.h>

namespace Apricothook {

namespace {

constexpr long KeptConnections = 2000;

Instant now()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace

struct LoadClient::Exchange
{
    LoadCall call;
    Done done;
    LoadAnswer answer;
    Instant sent {};
    Instant lastPart {};
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;

    static std::size_t onBody(char *data, std::size_t, std::size_t size, void *self)
    {
        auto &exchange = *static_cast<Exchange *>(self);
        const Instant moment = now();
        if (exchange.answer.body.empty())
            exchange.answer.firstByte = moment - exchange.sent;
        else
            exchange.answer.gaps.push_back(moment - exchange.lastPart);
        exchange.lastPart = moment;
        exchange.answer.body.append(data, size);
        return size;
    }

    static std::size_t onHeader(char *data, std::size_t, std::size_t size, void *self)
    {
        const std::string line(data, size);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            return size;
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const std::size_t first = line.find_first_not_of(' ', colon + 1);
        const std::size_t last = line.find_last_not_of("\r\n");
        if (first != std::string::npos && last >= first)
            static_cast<Exchange *>(self)->answer.headers[name]
                = line.substr(first, last - first + 1);
        return size;
    }
};

struct LoadClient::State
{
    CURLM *multi = curl_multi_init();
    std::map<CURL *, std::unique_ptr<Exchange>> exchanges;
};

LoadClient::LoadClient() : m_state(std::make_unique<State>())
{
    curl_multi_setopt(m_state->multi, CURLMOPT_MAXCONNECTS, KeptConnections);
}

LoadClient::~LoadClient()
{
    for (const auto &[easy, exchange] : m_state->exchanges) {
        curl_multi_remove_handle(m_state->multi, easy);
        curl_slist_free_all(exchange->headers);
        curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(m_state->multi);
}

void LoadClient::start(LoadCall call, Done done)
{
    auto exchange = std::make_unique<Exchange>();
    exchange->call = std::move(call);
    exchange->done = std::move(done);
    CURL *easy = exchange->easy = curl_easy_init();
    for (const std::string &header : exchange->call.headers)
        exchange->headers = curl_slist_append(exchange->headers, header.c_str());
    exchange->headers = curl_slist_append(exchange->headers, "Expect:");
    const long milliseconds = exchange->call.giveUpAfter / std::chrono::milliseconds(1);
    curl_easy_setopt(easy, CURLOPT_URL, exchange->call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, exchange->headers);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, std::max(1L, milliseconds));
    curl_easy_setopt(easy, CURLOPT_MAX_RECV_SPEED_LARGE,
                     static_cast<curl_off_t>(exchange->call.bytesPerSecond));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, Exchange::onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, exchange.get());
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, Exchange::onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, exchange.get());
    if (exchange->call.method == "POST") {
        // libcurl sends a request again on its own when a kept connection turns out to be closed.
        // A POST must not be sent twice behind the ledger's back, so each has its own connection.
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(exchange->call.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, exchange->call.body.c_str());
    }
    exchange->sent = now();
    curl_multi_add_handle(m_state->multi, easy);
    m_state->exchanges[easy] = std::move(exchange);
}

void LoadClient::poll(Duration wait)
{
    int running = 0;
    curl_multi_poll(m_state->multi, nullptr, 0,
                    static_cast<int>(wait / std::chrono::milliseconds(1)), nullptr);
    curl_multi_perform(m_state->multi, &running);
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_state->multi, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        CURL *easy = message->easy_handle;
        const int result = message->data.result;
        const auto found = m_state->exchanges.find(easy);
        const std::unique_ptr<Exchange> exchange = std::move(found->second);
        m_state->exchanges.erase(found);
        finish(*exchange, result);
    }
}

void LoadClient::finish(Exchange &exchange, int result)
{
    long status = 0;
    curl_easy_getinfo(exchange.easy, CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(m_state->multi, exchange.easy);
    curl_slist_free_all(exchange.headers);
    curl_easy_cleanup(exchange.easy);
    exchange.answer.status = static_cast<int>(status);
    exchange.answer.isComplete = result == CURLE_OK;
    exchange.answer.isGivenUp = result == CURLE_OPERATION_TIMEDOUT;
    exchange.answer.whole = now() - exchange.sent;
    exchange.done(exchange.answer);
}

std::size_t LoadClient::running() const
{
    return m_state->exchanges.size();
}

} // namespace Apricothook
