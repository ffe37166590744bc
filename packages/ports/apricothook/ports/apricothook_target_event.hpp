#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/ports/apricothook_target_order.hpp>

#include <variant>
#include <vector>

namespace Apricothook {

/** The first byte of an answer came. */
struct DispatchStarted
{
    DispatchId dispatch;
    Duration firstByte {};
};

/** A dispatch ended; the adapter sends nothing more for it. */
struct DispatchEnded
{
    DispatchId dispatch;
    RunEnd end = RunEnd::Answered;
    /** True only where no byte was sent, or the target's protocol says that it did not run. */
    bool isProvenNotRun = false;
    int status = 0;
    std::uint32_t outputTokens = 0;
    std::uint64_t answerBytes = 0;
    /** Times that the stream was resumed on a new connection. */
    std::uint32_t resumes = 0;
    Duration firstByte {};
    Duration streaming {};
    /** Prompt tokens that the engine found in its cache; 0 where it didn't say. */
    std::uint32_t cachedTokens = 0;
};

struct EngineOrderEnded
{
    std::uint64_t id = 0;
    TargetId target;
    /** HTTP status; 0 when the engine couldn't be reached; 409 for an old fencing number. */
    int status = 0;
};

/** An engine's own word of its load; it lags. */
struct LoadReport
{
    TargetId target;
    bool isReachable = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t kvTokensUsed = 0;
    Duration age {};
    auto operator<=>(const LoadReport &) const = default;
};

struct CacheEvent
{
    std::uint64_t sequence = 0;
    bool isStored = false; ///< Otherwise evicted.
    PrefixHash prefix;
    auto operator<=>(const CacheEvent &) const = default;
};

/** Cache events of an engine in order of sequence; sequences may be missing. */
struct CacheEvents
{
    TargetId target;
    std::vector<CacheEvent> events;
};

using TargetEvent
    = std::variant<DispatchStarted, DispatchEnded, EngineOrderEnded, LoadReport, CacheEvents>;

} // namespace Apricothook
