#pragma once

#include <apricothook/http1/apricothook_message_head.hpp>
#include <apricothook/model/apricothook_result.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Apricothook {

/** Why bytes aren't a message. */
enum class MessageError {
    Malformed,    ///< Not HTTP/1.1, or with framing that two readers could take differently.
    HeadTooLarge, ///< Start line and headers exceed the limit.
    BodyTooLarge, ///< The body exceeds the limit.
    Truncated,    ///< The connection ended within the message.
};

/** Most bytes of a message's parts. */
struct MessageLimits
{
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
};

class RequestParser;
class ResponseParser;

/**
 * Reads one request from bytes as they come.
 *
 * A request whose length could be read in two ways (a length beside chunks, two lengths, an unknown
 * transfer coding, a doubled Host) is refused: another reader on the way could take its tail for a
 * request of its own.
 */
class RequestReader
{
public:
    explicit RequestReader(const MessageLimits &limits);
    ~RequestReader();
    RequestReader(RequestReader &&) noexcept;
    RequestReader &operator=(RequestReader &&) noexcept;

    /** Takes bytes up to the message's end and tells how many; the rest belongs to the next one. */
    Result<std::size_t, MessageError> feed(std::string_view bytes);
    bool hasStarted() const;
    bool hasHead() const;
    bool isComplete() const;
    const RequestHead &head() const;
    std::string takeBody();

private:
    std::unique_ptr<RequestParser> m_parser;
};

/** Reads one answer from bytes as they come; interim (1xx) answers are passed over. */
class ResponseReader
{
public:
    /** `answersHead`: the request's method was HEAD, so that no body follows. */
    explicit ResponseReader(bool answersHead);
    ~ResponseReader();
    ResponseReader(ResponseReader &&) noexcept;
    ResponseReader &operator=(ResponseReader &&) noexcept;

    Result<std::size_t, MessageError> feed(std::string_view bytes);
    /** The connection ended in order; an error when the answer wasn't complete with that. */
    Result<void, MessageError> finish();
    bool hasHead() const;
    bool isComplete() const;
    const ResponseHead &head() const;
    /** The body's bytes that came since the last call. */
    std::string takeBody();

private:
    bool m_answersHead;
    std::unique_ptr<ResponseParser> m_parser;
};

} // namespace Apricothook
