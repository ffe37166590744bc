#pragma once

#include <apricothook/caller/internal/apricothook_connection_pause.hpp>
#include <apricothook/caller/internal/apricothook_connection_watch.hpp>
#include <apricothook/caller/internal/apricothook_request_body.hpp>
#include <apricothook/caller/internal/apricothook_request_headers.hpp>
#include <apricothook/caller/internal/apricothook_route.hpp>
#include <apricothook/ports/apricothook_answer_stream.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Apricothook {

enum class ExchangePhase {
    Headers, ///< Not looked at yet.
    Body,
    Waiting, ///< With the core; no head of an answer yet.
    Answering,
};

/**
 * One request and its answer on a connection. Everything but `pause` and `answer` belongs to the
 * connection's thread.
 */
struct Exchange
{
    ExchangeId id;
    /** The request target as it was sent; the library's own is decoded and without the query. */
    std::string uri;
    std::string method;
    ConnectionNumber connection = 0;
    ExchangePhase phase = ExchangePhase::Headers;
    Instant headersAt {};
    Route route;
    RequestHeaders headers;
    std::unique_ptr<RequestBody> body;
    /** Found before the core was asked; answered once the body was read and dropped. */
    std::optional<Refusal> refusal;
    std::uint64_t droppedBytes = 0;
    bool closesConnection = false;
    /** Whether the core knows of the exchange and must be told when the caller goes. */
    bool isGiven = false;
    std::shared_ptr<AnswerStream> answer;
    std::shared_ptr<ConnectionPause> pause;

    /** The key that the answer carries: the core's, or the caller's own before that. */
    RequestKey key() const
    {
        const RequestKey known = answer ? answer->key() : RequestKey();
        return known.isEmpty() ? headers.key : known;
    }
};

} // namespace Apricothook
