#pragma once

#include <apricothook/http1/apricothook_message_reader.hpp>

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <string>

namespace Apricothook {

namespace Http = boost::beast::http;

/**
 * Collects the output of Boost.Beast's incremental parser in a head and a body. Beast consumes only
 * whole header fields, so unconsumed bytes are buffered and passed to it again with the next ones.
 */
template <bool IsRequest, typename Head>
class MessageParser : public Http::basic_parser<IsRequest>
{
public:
    Result<std::size_t, MessageError> feed(std::string_view bytes)
    {
        const std::size_t bufferedBefore = m_unconsumed.size();
        if (bufferedBefore > 0)
            m_unconsumed.append(bytes);
        std::string_view input = bufferedBefore > 0 ? std::string_view(m_unconsumed) : bytes;
        const std::size_t whole = input.size();
        boost::beast::error_code error;
        while (!input.empty() && !this->is_done()) {
            const std::size_t taken
                = this->put(boost::asio::const_buffer(input.data(), input.size()), error);
            input.remove_prefix(taken);
            if (error == Http::error::need_more)
                break;
            if (error)
                return errorOf(error);
        }
        if (this->is_done()) {
            const std::size_t used = whole - input.size() - bufferedBefore;
            m_unconsumed.clear();
            return used;
        }
        // Beast takes body bytes as they come; only what frames them is left over.
        if (input.size() > LargestFraming)
            return MessageError::Malformed;
        m_unconsumed = std::string(input);
        return bytes.size();
    }

    /** Memory that the head and the bytes that aren't parsed yet take up. */
    std::size_t headBytes() const { return m_fieldBytes + m_unconsumed.capacity(); }
    /** Memory that the body takes up. */
    std::size_t bodyBytes() const { return body.capacity() > ShortString ? body.capacity() : 0; }
    /** Reserves exactly so many bytes for the body. */
    void reserveBody(std::size_t bytes)
    {
        // std::string::reserve() takes twice the capacity at least.
        std::string reserved;
        reserved.reserve(bytes);
        reserved.append(body);
        body = std::move(reserved);
    }

    /**
     * Size limit of a head, a chunk's size with its extensions, and the trailers, each as a whole.
     */
    static constexpr std::size_t LargestFraming = 65536;

    Head head;
    std::string body;

protected:
    static MessageError errorOf(const boost::beast::error_code &error)
    {
        if (error == Http::error::header_limit)
            return MessageError::HeadTooLarge;
        if (error == Http::error::body_limit)
            return MessageError::BodyTooLarge;
        return MessageError::Malformed;
    }

private:
    using Text = boost::beast::string_view;
    using Code = boost::beast::error_code;

    void on_field_impl(Http::field, Text name, Text value, Code &) override
    {
        // The list of fields grows to twice its size.
        m_fieldBytes += 2 * sizeof(HeaderLine) + name.size() + value.size();
        head.headers.add({name.data(), name.size()}, {value.data(), value.size()});
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> &, Code &) override { }
    std::size_t on_body_impl(Text bytes, Code &) override
    {
        appendToBody(bytes);
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t, Text, Code &) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, Text bytes, Code &) override
    {
        appendToBody(bytes);
        return bytes.size();
    }
    void on_finish_impl(Code &) override { }

    void appendToBody(Text bytes)
    {
        const std::size_t needed = body.size() + bytes.size();
        if (needed > body.capacity() && needed > LargeBody)
            reserveBody(needed + needed / GrowthDivisor);
        body.append(bytes.data(), bytes.size());
    }

    /** Strings of this size have no memory of their own. */
    static constexpr std::size_t ShortString = 15;
    /** A body of this size grows by less than its own size. */
    static constexpr std::size_t LargeBody = 65536;
    static constexpr std::size_t GrowthDivisor = 4;

    std::string m_unconsumed;
    std::size_t m_fieldBytes = 0;
};

} // namespace Apricothook
