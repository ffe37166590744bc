#include <apricothook/target/internal/apricothook_http_exchange.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

#include <strings.h>

namespace Apricothook {

namespace {

constexpr std::size_t MaximumHeadBytes = 64UL * 1024;
constexpr int FirstFinalStatus = 200;

/** Set by this adapter alone: a caller's own would change the framing or the deduplication. */
constexpr std::array OwnHeaders {"Host",   "Connection", "Content-Length", "Transfer-Encoding",
                                 "Expect", "TE",         "Upgrade",        "Keep-Alive"};

bool isPrintable(std::string_view text, bool allowsSpace)
{
    return std::all_of(text.begin(), text.end(), [allowsSpace](char character) {
        const auto code = static_cast<unsigned char>(character);
        const bool isSpace = code == ' ' || code == '\t';
        return isSpace ? allowsSpace : code > ' ' && code != 0x7f;
    });
}

bool isSame(const std::string &name, const char *other)
{
    return strcasecmp(name.c_str(), other) == 0;
}

bool isOwn(const std::string &name)
{
    return std::any_of(OwnHeaders.begin(), OwnHeaders.end(),
                       [&name](const char *own) { return isSame(name, own); });
}

void add(HeaderList &list, const std::string &line)
{
    curl_slist *longer = curl_slist_append(list.get(), line.c_str());
    if (longer != nullptr && longer != list.get()) {
        static_cast<void>(list.release()); // Its memory is the longer list's now.
        list.reset(longer);
    }
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Blank = " \t\r\n";
    const std::size_t first = text.find_first_not_of(Blank);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(Blank) - first + 1);
}

int statusOfLine(std::string_view line)
{
    const std::size_t space = line.find(' ');
    int status = 0;
    if (space != std::string_view::npos)
        std::from_chars(line.data() + space + 1, line.data() + line.size(), status);
    return status;
}

} // namespace

bool isWellFormed(const HttpRequest &request)
{
    const bool isLineGood = !request.method.empty() && isPrintable(request.method, false)
        && request.path.starts_with('/') && isPrintable(request.path, false);
    return isLineGood
        && std::all_of(request.headers.begin(), request.headers.end(), [](const Header &header) {
               return !header.name.empty() && header.name.find(':') == std::string::npos
                   && isPrintable(header.name, false) && isPrintable(header.value, true);
           });
}

bool isSafeMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

const std::string *headerValue(const std::vector<Header> &headers, const std::string &name)
{
    for (const Header &header : headers) {
        if (isSame(header.name, name.c_str()))
            return &header.value;
    }
    return nullptr;
}

HttpExchange::HttpExchange(CURLM *multi, HttpRequest request, HttpExchangeOwner &owner)
    : m_multi(multi), m_request(std::move(request)), m_owner(owner), m_easy(curl_easy_init())
{
    setUpConnection();
    setUpRequest();
    setUpHeaders();
    setUpCallbacks();
    curl_multi_add_handle(m_multi, m_easy.get());
}

HttpExchange::~HttpExchange()
{
    curl_multi_remove_handle(m_multi, m_easy.get());
}

void HttpExchange::resume()
{
    curl_easy_pause(m_easy.get(), CURLPAUSE_CONT);
}

void HttpExchange::setUpConnection()
{
    CURL *easy = m_easy.get();
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    // A proxy named in the daemon's environment would see every body, and could send it again.
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NETRC, CURL_NETRC_IGNORED);
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    if (m_request.idleSeconds > 0)
        curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, m_request.idleSeconds);
    else
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
}

void HttpExchange::setUpRequest()
{
    CURL *easy = m_easy.get();
    const std::string url = "http://" + m_request.address.text() + "/";
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    // Sent as it is: libcurl would fold "/../" and cut at '#', so that another path was called.
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, m_request.path.c_str());
    const bool hasBody = m_request.body && !m_request.body->empty();
    if (m_request.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else if (hasBody || !isSafeMethod(m_request.method)) {
        const std::size_t size = m_request.body ? m_request.body->size() : 0;
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(size));
    }
    if (m_request.method != "HEAD")
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
}

void HttpExchange::setUpHeaders()
{
    for (const Header &header : m_request.headers) {
        if (!isOwn(header.name))
            add(m_headers,
                header.value.empty() ? header.name + ";" : header.name + ": " + header.value);
    }
    // With "Expect: 100-continue" libcurl would send the request again after a status 417.
    add(m_headers, "Expect:");
    for (const char *unasked : {"Accept", "Content-Type"}) {
        if (headerValue(m_request.headers, unasked) == nullptr)
            add(m_headers, std::string(unasked) + ":");
    }
    curl_easy_setopt(m_easy.get(), CURLOPT_HTTPHEADER, m_headers.get());
}

void HttpExchange::setUpCallbacks()
{
    CURL *easy = m_easy.get();
    curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &HttpExchange::beginCallback);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(easy, CURLOPT_READFUNCTION, &HttpExchange::readCallback);
    curl_easy_setopt(easy, CURLOPT_READDATA, this);
    curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, &HttpExchange::seekCallback);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &HttpExchange::headerCallback);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &HttpExchange::writeCallback);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
}

bool HttpExchange::isFramed() const
{
    constexpr int NoContent = 204;
    constexpr int NotModified = 304;
    if (m_request.method == "HEAD" || m_head.status == NoContent || m_head.status == NotModified)
        return true;
    return headerValue(m_head.headers, "Content-Length") != nullptr
        || headerValue(m_head.headers, "Transfer-Encoding") != nullptr;
}

ExchangeEnd HttpExchange::endOf(CURLcode code) const
{
    // An answer that only the end of its connection ends can't be told from one that was cut off.
    return ExchangeEnd {code == CURLE_OK && m_isHeadWhole && isFramed(), m_hasBegun};
}

bool HttpExchange::onBegin()
{
    // When a used connection ends before an answer, libcurl connects anew and sends the request a
    // second time: a fault ticket filed twice. It comes through here before each sending, so that
    // the second one is refused; this holds for requests with and without a body.
    if (m_hasBegun || !m_owner.mayBegin())
        return false;
    m_hasBegun = true;
    m_owner.onSent();
    return true;
}

std::size_t HttpExchange::onRead(char *to, std::size_t size)
{
    if (!m_request.body)
        return 0;
    const std::size_t count = std::min(size, m_request.body->size() - m_bodyOffset);
    std::copy_n(m_request.body->data() + m_bodyOffset, count, to);
    m_bodyOffset += count;
    m_owner.onSent();
    return count;
}

bool HttpExchange::onHeaderLine(std::string_view line)
{
    if (m_isHeadWhole)
        return true; // Trailers.
    m_headBytes += line.size();
    if (m_headBytes > MaximumHeadBytes)
        return false;
    const std::size_t colon = line.find(':');
    if (line.starts_with("HTTP/")) {
        m_head = AnswerHead {statusOfLine(line), {}};
    } else if (trimmed(line).empty()) {
        m_isHeadWhole = m_head.status >= FirstFinalStatus;
        if (m_isHeadWhole)
            m_owner.onHead(m_head);
    } else if (colon != std::string_view::npos) {
        m_head.headers.push_back(Header {std::string(trimmed(line.substr(0, colon))),
                                         std::string(trimmed(line.substr(colon + 1)))});
    }
    return true;
}

int HttpExchange::beginCallback(void *self, char *, char *, int, int)
{
    const bool isAllowed = static_cast<HttpExchange *>(self)->onBegin();
    return isAllowed ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

std::size_t HttpExchange::readCallback(char *to, std::size_t size, std::size_t count, void *self)
{
    return static_cast<HttpExchange *>(self)->onRead(to, size * count);
}

int HttpExchange::seekCallback(void *, curl_off_t, int)
{
    // The second lock on sending twice: a body that can't be rewound can't be sent again.
    return CURL_SEEKFUNC_FAIL;
}

std::size_t HttpExchange::headerCallback(char *line, std::size_t size, std::size_t count,
                                         void *self)
{
    const std::string_view text(line, size * count);
    return static_cast<HttpExchange *>(self)->onHeaderLine(text) ? text.size() : 0;
}

std::size_t HttpExchange::writeCallback(char *bytes, std::size_t size, std::size_t count,
                                        void *self)
{
    const std::string_view text(bytes, size * count);
    switch (static_cast<HttpExchange *>(self)->m_owner.onBody(text)) {
    case BodyVerdict::Taken:
        return text.size();
    case BodyVerdict::Pause:
        return CURL_WRITEFUNC_PAUSE;
    case BodyVerdict::Abort:
        break;
    }
    return text.empty() ? 1 : 0;
}

} // namespace Apricothook
