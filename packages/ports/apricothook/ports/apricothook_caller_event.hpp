#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/ports/apricothook_answer_stream.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Apricothook {

/** What the scheduler must know of a body; the body itself is never read again. */
struct RequestSketch
{
    ModelId model;
    std::uint32_t promptTokens = 0;
    /** Longest answer that the caller asked for, in tokens; 0 where it didn't say. */
    std::uint32_t maximumTokens = 0;
    std::vector<PrefixHash> prefixes;
    /** Of method, path and body. */
    Fingerprint fingerprint;
    auto operator<=>(const RequestSketch &) const = default;
};

/** A caller's request for a service, whole and well formed, not yet authorised. */
struct CallerRequest
{
    ExchangeId exchange;
    /** SHA-256 of the bearer token in lower-case hex; empty when there was none. */
    std::string tokenHash;
    ServiceId service;
    std::string method;
    /** Path and query below the service, starting with '/'. */
    std::string path;
    /** Headers that go on to the target. */
    std::vector<Header> headers;
    ClassId requestClass;
    /** Empty when the caller gave none. */
    RequestKey key;
    /** From "Prefer: wait=SECONDS"; shortens the patience of the class. */
    std::optional<Duration> wait;
    std::shared_ptr<const std::string> body;
    RequestSketch sketch;
    std::shared_ptr<AnswerStream> answer;
};

/** The caller's connection broke or was closed before the answer was whole. */
struct CallerGone
{
    ExchangeId exchange;
};

/** GET /v1/requests/KEY: the answer, or a JSON state document. */
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
