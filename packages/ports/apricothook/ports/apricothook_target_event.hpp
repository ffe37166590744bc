#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/ports/apricothook_target_order.hpp>

#include <variant>
#include <vector>

namespace Apricothook {

/** The first byte of an answer was received. */
struct DispatchStarted
{
    DispatchId dispatch;
    Duration firstByte {};
};

/** A dispatch has ended; the last event for it. */
struct DispatchEnded
{
    DispatchId dispatch;
    RunEnd end = RunEnd::Answered;
    /** Whether no byte was sent, or the target reported that the request did not run. */
    bool isProvenNotRun = false;
    int status = 0;
    std::uint32_t outputTokens = 0;
    std::uint64_t answerBytes = 0;
    /** Number of times that the stream was resumed on a new connection. */
    std::uint32_t resumes = 0;
    Duration firstByte {};
    Duration streaming {};
    /** Prompt tokens that the engine found in its cache; 0 if not reported. */
    std::uint32_t cachedTokens = 0;
};

struct EngineOrderEnded
{
    std::uint64_t id = 0;
    TargetId target;
    /** HTTP status: 0 if the engine was unreachable, 409 for a stale fencing token. */
    int status = 0;
};

/** Load as reported by an engine; may be out of date. */
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
    bool isStored = false; ///< False: evicted.
    PrefixHash prefix;
    auto operator<=>(const CacheEvent &) const = default;
};

/** Cache events of an engine, ordered by sequence number, possibly with gaps. */
struct CacheEvents
{
    TargetId target;
    std::vector<CacheEvent> events;
};

using TargetEvent
    = std::variant<DispatchStarted, DispatchEnded, EngineOrderEnded, LoadReport, CacheEvents>;

} // namespace Apricothook
