#pragma once

#include <apricothook/http1/apricothook_message_head.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothook {

/** Parts of a prompt that are read of one request; further ones are ignored. */
constexpr std::size_t MaximumPromptParts = 8;
/** Longest name of a part of a prompt. */
constexpr std::size_t MaximumPromptPartBytes = 64;

/** The fields of a caller's request, independent of the header names. */
struct RequestFields
{
    /** The caller's id of this attempt; passed to the target, which echoes it. */
    RequestKey id;
    std::string host;
    /** The request line's target without the query. */
    std::string path;
    /** How long the caller waits for the response, if stated. */
    std::optional<Duration> timeout;
    /** The credential that identifies the customer; empty if there is none. */
    std::string customerKey;
    std::uint64_t promptTokens = 0;
    /** The caller's estimate of the output, or its upper limit. */
    std::uint64_t expectedOutputTokens = 0;
    /** Prompt and output tokens together, if stated. */
    std::optional<std::uint64_t> totalTokens;
    /**
     * The parts of the prompt that other requests may have in common with this one, in order: all
     * but the last. At most MaximumPromptParts; empty if they aren't stated or the list is invalid.
     */
    std::vector<PromptPartId> promptParts;
    /** The last event of the stream that the caller has received. */
    std::optional<std::uint64_t> lastEventId;
    /** The caller's attempt that brought the first event of the stream; empty if not stated. */
    RequestKey resumes;

    auto operator<=>(const RequestFields &) const = default;
};

/** Why a request head is invalid. */
enum class RequestFieldsError {
    MissingId,
    InvalidTarget,
    InvalidNumber,
    InvalidStream, ///< The stream to be taken up isn't named, or several are.
};

/** The fields that the daemon sets in a request to a target. */
struct TargetRequestFields
{
    /** The remainder of the time that the caller waits. */
    Duration timeout {};
    /** The only target that may run the request. */
    TargetId target;
    /** Empty for a request without a customer. */
    CustomerId customer;
    /** The last event that the caller has received. */
    std::optional<std::uint64_t> lastEventId;

    auto operator<=>(const TargetRequestFields &) const = default;
};

/** Why the limit that a target names in a response is invalid. */
enum class TargetLimitError {
    NotANumber,
    Negative,
    TooLarge,
    Repeated, ///< Named more than once.
};

constexpr std::string_view nameOf(TargetLimitError error)
{
    switch (error) {
    case TargetLimitError::NotANumber:
        return "not-a-number";
    case TargetLimitError::Negative:
        return "negative";
    case TargetLimitError::TooLarge:
        return "too-large";
    case TargetLimitError::Repeated:
        break;
    }
    return "repeated";
}

/** The fields of a target's response head besides the status. */
struct TargetResponseFields
{
    /** The request that the response belongs to; empty if not stated. */
    RequestKey requestId;
    /** The target states that it didn't run the request. */
    bool isNotRun = false;
    /** The address now belongs to another target. */
    bool isMisdirected = false;
    /** Carries the target's proof that it produced the response. */
    bool isSigned = false;
    /** How long the target keeps an idle connection open, if stated. */
    std::optional<unsigned> keepAliveSeconds;
    /** Requests per second that the target takes from all daemons together, if it names a limit. */
    std::optional<double> limitPerSecond;
    /**
     * Requests per second that the target can reject for lack of room without crashing, if it names
     * a limit of them.
     */
    std::optional<double> rejectionsPerSecond;
    /** Set if the target names an invalid limit, of either kind. */
    std::optional<TargetLimitError> limitError;

    auto operator<=>(const TargetResponseFields &) const = default;
};

/**
 * Translates between heads and their fields, so that the gateway doesn't depend on the header names
 * that callers and targets use.
 */
class WireProtocol
{
public:
    virtual ~WireProtocol() = default;
    virtual Result<RequestFields, RequestFieldsError>
    callerRequest(const RequestHead &head) const = 0;
    /** The request head for a target: hop-by-hop and reserved headers are replaced. */
    virtual RequestHead targetRequest(const RequestHead &fromCaller,
                                      const TargetRequestFields &fields) const = 0;
    virtual TargetResponseFields targetResponse(const ResponseHead &head) const = 0;
    /** The target's response head as it is forwarded to the caller. */
    virtual ResponseHead callerResponse(const ResponseHead &fromTarget) const = 0;
    /** A response generated by the daemon; `id` is empty if the request's id is unknown. */
    virtual ResponseHead localResponse(unsigned status, const RequestKey &id,
                                       std::optional<Duration> retryAfter) const = 0;
};

} // namespace Apricothook
