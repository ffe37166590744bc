#pragma once

#include <apricothook/http1/apricothook_header_list.hpp>

#include <cstdint>
#include <string>

namespace Apricothook {

/** Start line and headers of a request. */
struct RequestHead
{
    std::string method;
    /** Path and query, unchanged. */
    std::string target;
    HeaderList headers;
    /** The connection is persistent. */
    bool isKeepAlive = true;

    auto operator<=>(const RequestHead &) const = default;
};

/** Start line and headers of a response. */
struct ResponseHead
{
    unsigned status = 0;
    std::string reason;
    HeaderList headers;
    bool isKeepAlive = true;
    /** The body has no length and extends to the end of the connection. */
    bool bodyEndsAtClose = false;

    auto operator<=>(const ResponseHead &) const = default;
};

/** How the end of a body is marked. */
struct BodyFraming
{
    enum class Kind { Sized, Chunked, None };
    Kind kind = Kind::None;
    std::uint64_t bytes = 0;
};

/** Serializes a head and adds the framing header; `headers` must not contain one. */
std::string writeRequestHead(const RequestHead &head, BodyFraming body);
std::string writeResponseHead(const ResponseHead &head, BodyFraming body);

/** Serializes one chunk of a chunked body. */
std::string writeChunk(std::string_view bytes);
constexpr std::string_view LastChunk = "0\r\n\r\n";

/** The standard reason phrase of a status; "Status" for an unknown one. */
std::string_view reasonPhrase(unsigned status);

} // namespace Apricothook
