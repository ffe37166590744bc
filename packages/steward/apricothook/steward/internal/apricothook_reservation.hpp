#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>

namespace Apricothook {

/** What is expected of a request on one target. */
struct Prediction
{
    Duration firstToken {};
    Duration end {};
    /** Time of its own prefill, without waiting for others'. */
    Duration prefill {};
    std::uint32_t cachedTokens = 0;
};

/** Room on a target that is given to one attempt. */
struct Reservation
{
    TargetId target;
    ModelId model;
    /** Place of the target in its shard's ledger. */
    std::size_t index = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    /** Prefill tokens of others that the target had to work on first. */
    std::uint64_t prefillAhead = 0;
    std::uint32_t batch = 1;
    Instant reservedAt {};
    Instant leaseUntil {};
    Prediction prediction;
    bool isLong = false;

    std::uint64_t kvTokens() const { return std::uint64_t(promptTokens) + outputTokens; }
    Instant prefillEnd() const { return reservedAt + prediction.firstToken; }
};

} // namespace Apricothook
