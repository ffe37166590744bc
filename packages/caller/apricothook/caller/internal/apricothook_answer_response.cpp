#include <apricothook/caller/internal/apricothook_answer_response.hpp>

#include <apricothook/caller/internal/apricothook_problem_document.hpp>

#include <charconv>

namespace Apricothook {

namespace {

/** Bytes that one read of a stream gives at most; each open stream has a buffer of this size. */
constexpr std::size_t BlockBytes = 2048;
constexpr int LowestFinalStatus = 200;
constexpr int HighestStatus = 599;

struct ResponseRelease
{
    void operator()(MHD_Response *response) const { MHD_destroy_response(response); }
};
using Response = std::unique_ptr<MHD_Response, ResponseRelease>;
using ExchangeHolder = std::shared_ptr<Exchange>;

void addHeader(const Response &response, std::string_view name, std::string_view value)
{
    // The library refuses a malformed header; the answer goes on without it.
    MHD_add_response_header(response.get(), std::string(name).c_str(), std::string(value).c_str());
}

void addCommonHeaders(const Response &response, const Exchange &exchange)
{
    const RequestKey key = exchange.key();
    if (!key.isEmpty())
        addHeader(response, "Apricothook-Request", key.text());
    if (exchange.closesConnection)
        addHeader(response, "Connection", "close");
}

bool hasEnded(AnswerStream::State state)
{
    return state != AnswerStream::State::Waiting && state != AnswerStream::State::Open;
}

ssize_t endOf(AnswerStream::State state)
{
    return state == AnswerStream::State::Finished ? MHD_CONTENT_READER_END_OF_STREAM
                                                  : MHD_CONTENT_READER_END_WITH_ERROR;
}

ssize_t readAnswer(void *holder, std::uint64_t /*position*/, char *to, std::size_t size)
{
    const Exchange &exchange = **static_cast<ExchangeHolder *>(holder);
    AnswerStream &answer = *exchange.answer;
    while (!exchange.pause->isBroken()) {
        // The state comes first: read after the bytes, it could hide those written in between.
        const AnswerStream::State state = answer.state();
        const std::size_t count = answer.read(to, size);
        if (count > 0)
            return static_cast<ssize_t>(count);
        if (hasEnded(state))
            return endOf(state);
        if (exchange.pause->pauseUnless([&answer] { return answer.isReadable(); }))
            return 0;
    }
    return MHD_CONTENT_READER_END_WITH_ERROR;
}

void releaseHolder(void *holder)
{
    delete static_cast<ExchangeHolder *>(holder);
}

std::uint64_t contentLengthOf(const AnswerHead &head)
{
    for (const Header &header : head.headers) {
        std::uint64_t length = 0;
        const char *const end = header.value.data() + header.value.size();
        if (!isSameName(header.name, "content-length"))
            continue;
        const auto [stop, error] = std::from_chars(header.value.data(), end, length);
        if (error == std::errc() && stop == end)
            return length;
    }
    return MHD_SIZE_UNKNOWN;
}

bool hasNoBody(int status)
{
    return status == MHD_HTTP_NO_CONTENT || status == MHD_HTTP_NOT_MODIFIED;
}

Response responseOf(const ExchangeHolder &exchange, const AnswerHead &head)
{
    if (hasNoBody(head.status))
        return Response(MHD_create_response_from_buffer(0, nullptr, MHD_RESPMEM_PERSISTENT));
    return Response(MHD_create_response_from_callback(contentLengthOf(head), BlockBytes, readAnswer,
                                                      new ExchangeHolder(exchange), releaseHolder));
}

Refusal targetFailed()
{
    return Refusal {RefusalReason::TargetFailed, Outcome::Unknown, {}};
}

} // namespace

MHD_Result sendRefusal(MHD_Connection *connection, const Exchange &exchange, const Refusal &refusal)
{
    std::string document = problemDocument(refusal, exchange.key());
    const Response response(
        MHD_create_response_from_buffer(document.size(), document.data(), MHD_RESPMEM_MUST_COPY));
    addHeader(response, "Content-Type", "application/problem+json");
    if (const auto seconds = retryAfterSeconds(refusal))
        addHeader(response, "Retry-After", std::to_string(*seconds));
    if (refusal.reason == RefusalReason::Unauthorized)
        addHeader(response, "WWW-Authenticate", "Bearer");
    addCommonHeaders(response, exchange);
    return MHD_queue_response(connection, statusOf(refusal.reason), response.get());
}

MHD_Result sendAnswer(MHD_Connection *connection, const std::shared_ptr<Exchange> &exchange)
{
    if (const std::optional<Refusal> refusal = exchange->answer->refusal())
        return sendRefusal(connection, *exchange, *refusal);
    const std::optional<AnswerHead> head = exchange->answer->head();
    // Nothing was sent yet, so that the caller can be told more than by a broken answer.
    if (!head || exchange->answer->state() == AnswerStream::State::Aborted)
        return sendRefusal(connection, *exchange, targetFailed());
    if (head->status < LowestFinalStatus || head->status > HighestStatus)
        return sendRefusal(connection, *exchange, targetFailed());
    // The library ends a HEAD of unknown length with a last chunk, which the caller would take for
    // the beginning of its next answer.
    if (exchange->method == MHD_HTTP_METHOD_HEAD && contentLengthOf(*head) == MHD_SIZE_UNKNOWN)
        exchange->closesConnection = true;
    const Response response = responseOf(exchange, *head);
    for (const Header &header : headersForCaller(head->headers))
        addHeader(response, header.name, header.value);
    addCommonHeaders(response, *exchange);
    return MHD_queue_response(connection, head->status, response.get());
}

} // namespace Apricothook
