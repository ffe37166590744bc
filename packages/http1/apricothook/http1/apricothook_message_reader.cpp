#include <apricothook/http1/apricothook_message_reader.hpp>

#include <apricothook/http1/internal/apricothook_message_parser.hpp>

#include <utility>

namespace Apricothook {

namespace {

/** Lower status codes are interim (1xx). */
constexpr unsigned FirstFinalStatus = 200;
/** Size limit of a response head; larger than for callers, as targets are trusted more. */
constexpr std::uint32_t LargestResponseHead = 65536;
/** Interim responses before one response. */
constexpr unsigned MaximumInterim = 16;

bool hasAmbiguousFraming(const HeaderList &headers)
{
    if (headers.count("Host") != 1 || headers.count("Content-Length") > 1)
        return true;
    const std::size_t codings = headers.count("Transfer-Encoding");
    if (codings == 0)
        return false;
    return codings > 1 || headers.count("Content-Length") > 0
        || !equalsIgnoringCase(*headers.find("Transfer-Encoding"), "chunked");
}

} // namespace

class RequestParser : public MessageParser<true, RequestHead>
{
public:
    explicit RequestParser(const MessageLimits &limits)
    {
        eager(true);
        header_limit(limits.headBytes);
        body_limit(limits.bodyBytes);
    }

private:
    void on_request_impl(Http::verb, boost::beast::string_view method,
                         boost::beast::string_view target, int, boost::beast::error_code &) override
    {
        head.method = {method.data(), method.size()};
        head.target = {target.data(), target.size()};
    }
    void on_response_impl(int, boost::beast::string_view, int, boost::beast::error_code &) override
    {
    }
    void on_header_impl(boost::beast::error_code &error) override
    {
        head.isKeepAlive = keep_alive();
        if (hasAmbiguousFraming(head.headers))
            error = Http::error::bad_field;
    }
};

class ResponseParser : public MessageParser<false, ResponseHead>
{
public:
    explicit ResponseParser(bool isHeadResponse)
    {
        eager(true);
        skip(isHeadResponse);
        header_limit(LargestResponseHead);
        body_limit(boost::none);
    }

private:
    void on_request_impl(Http::verb, boost::beast::string_view, boost::beast::string_view, int,
                         boost::beast::error_code &) override
    {
    }
    void on_response_impl(int status, boost::beast::string_view reason, int,
                          boost::beast::error_code &) override
    {
        head.status = static_cast<unsigned>(status);
        head.reason = {reason.data(), reason.size()};
    }
    void on_header_impl(boost::beast::error_code &) override
    {
        head.isKeepAlive = keep_alive();
        head.bodyEndsAtClose = need_eof();
    }
};

RequestReader::RequestReader(const MessageLimits &limits)
    : m_parser(std::make_unique<RequestParser>(limits))
{
}

RequestReader::~RequestReader() = default;
RequestReader::RequestReader(RequestReader &&) noexcept = default;
RequestReader &RequestReader::operator=(RequestReader &&) noexcept = default;

Result<std::size_t, MessageError> RequestReader::feed(std::string_view bytes)
{
    return m_parser->feed(bytes);
}

bool RequestReader::hasStarted() const
{
    return m_parser->got_some();
}

bool RequestReader::hasHead() const
{
    return m_parser->is_header_done();
}

bool RequestReader::isComplete() const
{
    return m_parser->is_done();
}

const RequestHead &RequestReader::head() const
{
    return m_parser->head;
}

std::string RequestReader::takeBody()
{
    return std::exchange(m_parser->body, {});
}

std::optional<std::uint64_t> RequestReader::announcedBody() const
{
    const boost::optional<std::uint64_t> length = m_parser->content_length();
    return length ? std::optional(*length) : std::nullopt;
}

void RequestReader::reserveBody(std::size_t bytes)
{
    m_parser->reserveBody(bytes);
}

std::size_t RequestReader::headBytes() const
{
    return m_parser->headBytes();
}

std::size_t RequestReader::bodyBytes() const
{
    return m_parser->bodyBytes();
}

ResponseReader::ResponseReader(bool isHeadResponse)
    : m_isHeadResponse(isHeadResponse), m_parser(std::make_unique<ResponseParser>(isHeadResponse))
{
}

ResponseReader::~ResponseReader() = default;
ResponseReader::ResponseReader(ResponseReader &&) noexcept = default;
ResponseReader &ResponseReader::operator=(ResponseReader &&) noexcept = default;

Result<std::size_t, MessageError> ResponseReader::feed(std::string_view bytes)
{
    std::size_t used = 0;
    while (true) {
        const Result<std::size_t, MessageError> taken = m_parser->feed(bytes.substr(used));
        if (!taken)
            return taken.error();
        used += taken.value();
        if (!m_parser->is_done() || m_parser->head.status >= FirstFinalStatus)
            return used;
        if (++m_interim > MaximumInterim)
            return MessageError::Malformed;
        m_parser = std::make_unique<ResponseParser>(m_isHeadResponse);
        if (used == bytes.size())
            return used;
    }
}

Result<void, MessageError> ResponseReader::finish()
{
    boost::beast::error_code error;
    if (!m_parser->is_done())
        m_parser->put_eof(error);
    if (error || !m_parser->is_done())
        return MessageError::Truncated;
    return Outcomes::success();
}

bool ResponseReader::hasHead() const
{
    return m_parser->is_header_done();
}

bool ResponseReader::isComplete() const
{
    return m_parser->is_done();
}

const ResponseHead &ResponseReader::head() const
{
    return m_parser->head;
}

std::string ResponseReader::takeBody()
{
    return std::exchange(m_parser->body, {});
}

} // namespace Apricothook
