#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/ports/apricothook_answer_stream.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Apricothook {

/** Properties of a request body that scheduling needs; the body isn't parsed again. */
struct RequestProfile
{
    ModelId model;
    std::uint32_t promptTokens = 0;
    /** Maximum answer length that the caller requested, in tokens; 0 if not specified. */
    std::uint32_t maximumTokens = 0;
    std::vector<PrefixHash> prefixes;
    /** Fingerprint of method, path and body. */
    Fingerprint fingerprint;
    auto operator<=>(const RequestProfile &) const = default;
};

/** A complete, well-formed request for a service; not yet authorised. */
struct CallerRequest
{
    ExchangeId exchange;
    /** SHA-256 of the bearer token in lower-case hex; empty without a token. */
    std::string tokenHash;
    ServiceId service;
    std::string method;
    /** Path and query relative to the service, starting with '/'. */
    std::string path;
    /** Headers that are forwarded to the target. */
    std::vector<Header> headers;
    ClassId requestClass;
    /** Empty if the caller supplied no key. */
    RequestKey key;
    /** From "Prefer: wait=SECONDS"; shortens the patience of the class. */
    std::optional<Duration> wait;
    std::shared_ptr<const std::string> body;
    RequestProfile profile;
    std::shared_ptr<AnswerStream> answer;
};

/** The caller's connection was closed before the answer was complete. */
struct CallerGone
{
    ExchangeId exchange;
};

/** GET /v1/requests/KEY; answered with the request's answer or a JSON state document. */
struct KeyLookup
{
    ExchangeId exchange;
    std::string tokenHash;
    RequestKey key;
    std::shared_ptr<AnswerStream> answer;
};

/** GET /v1/entries. */
struct EntriesLookup
{
    std::shared_ptr<AnswerStream> answer;
};

} // namespace Apricothook
