#include <apricothook/http1/apricothook_message_head.hpp>

#include <ostream>

#include <boost/beast/http/status.hpp>

#include <array>
#include <charconv>

namespace Apricothook {

namespace {

void appendHeaders(std::string &bytes, const HeaderList &headers, BodyFraming body)
{
    for (const HeaderLine &header : headers)
        bytes.append(header.name).append(": ").append(header.value).append("\r\n");
    if (body.kind == BodyFraming::Kind::Sized)
        bytes.append("Content-Length: ").append(std::to_string(body.bytes)).append("\r\n");
    else if (body.kind == BodyFraming::Kind::Chunked)
        bytes.append("Transfer-Encoding: chunked\r\n");
    bytes.append("\r\n");
}

} // namespace

std::string writeRequestHead(const RequestHead &head, BodyFraming body)
{
    std::string bytes = head.method + " " + head.target + " HTTP/1.1\r\n";
    appendHeaders(bytes, head.headers, body);
    return bytes;
}

std::string writeResponseHead(const ResponseHead &head, BodyFraming body)
{
    std::string bytes = "HTTP/1.1 " + std::to_string(head.status) + " ";
    bytes.append(head.reason.empty() ? reasonPhrase(head.status) : std::string_view(head.reason));
    bytes.append("\r\n");
    appendHeaders(bytes, head.headers, body);
    return bytes;
}

std::string writeChunk(std::string_view bytes)
{
    constexpr int Hexadecimal = 16;
    std::array<char, 16> size;
    const auto end
        = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), Hexadecimal);
    std::string chunk(size.data(), end.ptr);
    chunk.append("\r\n").append(bytes).append("\r\n");
    return chunk;
}

std::string_view reasonPhrase(unsigned status)
{
    const boost::beast::string_view phrase
        = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return phrase.empty() ? std::string_view("Status")
                          : std::string_view(phrase.data(), phrase.size());
}

} // namespace Apricothook
