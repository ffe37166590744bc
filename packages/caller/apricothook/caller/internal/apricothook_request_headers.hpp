#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_refusal.hpp>
#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/model/apricothook_time.hpp>
#include <apricothook/ports/apricothook_answer_stream.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothook {

/** What the headers of a caller's request say. */
struct RequestHeaders
{
    /** SHA-256 of the bearer token in lower-case hex; empty when there was none. */
    std::string tokenHash;
    RequestKey key;
    ClassId requestClass;
    std::optional<Duration> wait;
    std::string contentType;
    /** Headers that go on to the target. */
    std::vector<Header> forwarded;
    auto operator<=>(const RequestHeaders &) const = default;
};

/** BadRequest where a header that this system reads is malformed or given twice. */
Result<RequestHeaders, RefusalReason> parseRequestHeaders(const std::vector<Header> &headers);

/** Headers of a target's answer that go on to the caller; without Content-Length. */
std::vector<Header> headersForCaller(const std::vector<Header> &headers);

/** Case-insensitive, as header names are. */
bool isSameName(std::string_view left, std::string_view right);

std::string sha256Hex(std::string_view bytes);

} // namespace Apricothook
