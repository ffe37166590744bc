#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_refusal.hpp>

#include <optional>

namespace Apricothook {

/** How one exchange went, for metrics. */
struct RequestSummary
{
    CustomerId customer;
    ClassId requestClass;
    Tier tier;
    TargetId target;
    /** Nothing: answered whole. */
    std::optional<Refusal> refusal;
    bool isWithinPatience = false;
    bool isAbandoned = false;
    Duration total {};
    Duration queued {};
    Duration firstToken {};
    Duration betweenTokens {};
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t outputTokens = 0;
    /** Prompt tokens that were worked on for an answer that nobody got whole. */
    std::uint32_t wastedPrefillTokens = 0;
};

class RequestObserver
{
public:
    virtual ~RequestObserver() = default;
    virtual void ended(const RequestSummary &summary) = 0;
};

} // namespace Apricothook
