#pragma once

#include <apricothook/http1/apricothook_message_head.hpp>
#include <apricothook/model/apricothook_result.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Apricothook {

/** Why a message couldn't be read. */
enum class MessageError {
    Malformed,    ///< Not HTTP/1.1, or with ambiguous framing.
    HeadTooLarge, ///< Start line and headers exceed the size limit.
    BodyTooLarge, ///< The body exceeds the size limit.
    Truncated,    ///< The connection ended in the middle of the message.
};

/** Size limits for the parts of a message. */
struct MessageLimits
{
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
};

class RequestParser;
class ResponseParser;

/**
 * Incremental reader of one request.
 *
 * Rejects requests with ambiguous framing (Content-Length together with Transfer-Encoding, two
 * Content-Length headers, an unknown transfer coding, two Host headers): a proxy on the path that
 * frames them differently could treat the end of the body as another request (request smuggling).
 */
class RequestReader
{
public:
    explicit RequestReader(const MessageLimits &limits);
    ~RequestReader();
    RequestReader(RequestReader &&) noexcept;
    RequestReader &operator=(RequestReader &&) noexcept;

    /** Consumes bytes up to the end of the message and returns their number. */
    Result<std::size_t, MessageError> feed(std::string_view bytes);
    bool hasStarted() const;
    bool hasHead() const;
    bool isComplete() const;
    const RequestHead &head() const;
    std::string takeBody();
    /** The length of the body as announced; none if it comes in chunks. */
    std::optional<std::uint64_t> announcedBody() const;
    /** Reserves memory for a body of so many bytes, which then doesn't grow step by step. */
    void reserveBody(std::size_t bytes);
    /** Memory that the head and what can't be parsed yet take up. */
    std::size_t headBytes() const;
    /** Memory that the body received so far takes up. */
    std::size_t bodyBytes() const;

private:
    std::unique_ptr<RequestParser> m_parser;
};

/** Incremental reader of one response; skips interim (1xx) responses. */
class ResponseReader
{
public:
    /** `isHeadResponse`: the request's method was HEAD, so the response has no body. */
    explicit ResponseReader(bool isHeadResponse);
    ~ResponseReader();
    ResponseReader(ResponseReader &&) noexcept;
    ResponseReader &operator=(ResponseReader &&) noexcept;

    Result<std::size_t, MessageError> feed(std::string_view bytes);
    /** Signals the orderly end of the connection; an error if the response is incomplete. */
    Result<void, MessageError> finish();
    bool hasHead() const;
    bool isComplete() const;
    const ResponseHead &head() const;
    /** The body bytes received since the last call. */
    std::string takeBody();

private:
    bool m_isHeadResponse;
    unsigned m_interim = 0;
    std::unique_ptr<ResponseParser> m_parser;
};

} // namespace Apricothook
