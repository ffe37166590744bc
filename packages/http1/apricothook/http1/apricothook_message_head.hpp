#pragma once

#include <apricothook/http1/apricothook_header_list.hpp>

#include <cstdint>
#include <string>

namespace Apricothook {

/** Start line and headers of a request. */
struct RequestHead
{
    std::string method;
    /** Path and query as they were sent. */
    std::string target;
    HeaderList headers;
    /** The connection may serve another request after this one. */
    bool isKeepAlive = true;

    auto operator<=>(const RequestHead &) const = default;
};

/** Start line and headers of an answer. */
struct ResponseHead
{
    unsigned status = 0;
    std::string reason;
    HeaderList headers;
    bool isKeepAlive = true;
    /** The body ends with the connection, as the answer states no length. */
    bool endsWithConnection = false;

    auto operator<=>(const ResponseHead &) const = default;
};

/** How the receiver learns where a body ends. */
struct BodyFraming
{
    enum class Kind { Sized, Chunked, None };
    Kind kind = Kind::None;
    std::uint64_t bytes = 0;
};

/** The bytes of a head with the framing of its body; `headers` states no framing of its own. */
std::string writeRequestHead(const RequestHead &head, BodyFraming body);
std::string writeResponseHead(const ResponseHead &head, BodyFraming body);

/** One chunk of a chunked body, and the end of such a body. */
std::string writeChunk(std::string_view bytes);
constexpr std::string_view LastChunk = "0\r\n\r\n";

/** The standard reason phrase of a status; "Status" for an unusual one. */
std::string_view reasonPhrase(unsigned status);

} // namespace Apricothook
