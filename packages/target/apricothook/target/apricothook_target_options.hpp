#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstddef>
#include <string>

namespace Apricothook {

/** Bounds of the target adapter. */
struct TargetOptions
{
    /** Sent as "Authorization: Bearer" with engine orders; empty sends none. */
    std::string engineOrderToken;
    /** Orders that wait for the adapter's thread; more are refused by order(). */
    std::size_t ringCapacity = 1024;
    /** Dispatches on the wire, as many as connections; more end at once, proven not run. */
    std::size_t maximumDispatches = 12000;
    /** Polls, engine orders and cancels on the wire. */
    std::size_t maximumCalls = 64;
    /** Idle connections kept, over all targets. */
    long idleConnections = 64;
    /** An idle connection that is older isn't used again. */
    long idleSeconds = 10;
    /** Whole time of a poll, an engine order or a cancel. */
    Duration callDeadline = std::chrono::seconds(2);
    /** Longest sleep of the loop, so that an injected clock is seen to move. */
    Duration longestPoll = std::chrono::milliseconds(100);
    /** Deadlines and abandoned callers are looked for at most this often. */
    Duration scanEvery = std::chrono::milliseconds(10);
    /**
     * Sends bodies on connections that were used before. Off: a connection that died while idle
     * would turn a request that could have run into one whose outcome is unknown.
     */
    bool reusesConnectionsForBodies = false;
};

} // namespace Apricothook
