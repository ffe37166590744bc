#pragma once

#include <apricothook/http1/apricothook_message_head.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace Apricothook {

/** What a caller's request says of itself, whatever headers say it. */
struct RequestFields
{
    /** The caller's id of this attempt; the target gets it unchanged and echoes it. */
    RequestKey id;
    std::string host;
    /** The target of the request line without its query. */
    std::string path;
    /** How long the caller will wait; nothing when it doesn't say. */
    std::optional<Duration> timeout;
    /** The credential that names the customer; empty when there is none. */
    std::string customerKey;
    std::uint64_t promptTokens = 0;
    /** The caller's estimate of the output, or the most that there may be. */
    std::uint64_t expectedOutputTokens = 0;
    /** Prompt and output tokens together; nothing when it doesn't say. */
    std::optional<std::uint64_t> totalTokens;
    /** The last event of a stream that the caller has already. */
    std::optional<std::uint64_t> lastEventId;

    auto operator<=>(const RequestFields &) const = default;
};

/** Why a head isn't a request that can be served. */
enum class RequestFieldsError {
    MissingId,
    InvalidTarget,
    InvalidNumber,
};

/** What this side states in a request to a target. */
struct TargetRequestFields
{
    /** What is left of the caller's patience. */
    Duration timeout {};
    /** The only target that may run it. */
    TargetId target;
    /** Empty when the route needs no customer. */
    CustomerId customer;
    /** The last event that the caller has. */
    std::optional<std::uint64_t> lastEventId;

    auto operator<=>(const TargetRequestFields &) const = default;
};

/** What the head of a target's answer says besides its status. */
struct TargetResponseFields
{
    /** The request that the answer belongs to; empty when it doesn't say. */
    RequestKey requestId;
    /** The target states that it did not run the request. */
    bool isNotRun = false;
    /** Another target has the address now. */
    bool isMisdirected = false;
    /** Carries the target's proof that the answer is its own. */
    bool isSigned = false;
    /** Seconds for which the target keeps an idle connection. */
    std::optional<unsigned> keepAliveSeconds;

    auto operator<=>(const TargetResponseFields &) const = default;
};

/**
 * The names that callers and targets use on the wire, behind one interface: the gateway asks what a
 * head says and states what a head should say, and knows no header of theirs.
 */
class WireProtocol
{
public:
    virtual ~WireProtocol() = default;
    virtual Result<RequestFields, RequestFieldsError>
    callerRequest(const RequestHead &head) const = 0;
    /** The caller's headers for a target: hop-by-hop and reserved ones replaced. */
    virtual RequestHead targetRequest(const RequestHead &fromCaller,
                                      const TargetRequestFields &fields) const = 0;
    virtual TargetResponseFields targetResponse(const ResponseHead &head) const = 0;
    /** The target's headers for the caller. */
    virtual ResponseHead callerResponse(const ResponseHead &fromTarget) const = 0;
    /** An answer of this side's own, for the request `id` if there is one. */
    virtual ResponseHead localResponse(unsigned status, const RequestKey &id,
                                       std::optional<Duration> retryAfter) const = 0;
};

} // namespace Apricothook
