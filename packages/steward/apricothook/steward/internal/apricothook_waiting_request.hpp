#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>

#include <cstdint>
#include <list>

namespace Apricothook {

/** A set of a shard's targets, one bit each. */
using TargetMask = std::uint64_t;

/** A request that waits at a steward. */
struct WaitingRequest
{
    ReserveRequest request;
    /** Targets that can serve it at all. */
    TargetMask candidates = 0;
    Instant arrived {};
    Instant deadline {};
    /** After this no target can finish in time, even when idle. */
    Instant latestStart {};
    /** Tokens, for the fair share. */
    double cost = 0;
    /** Time that it is expected to hold a slot. */
    Duration slotTime {};
    /** Its prompt takes long on the fastest target that it may use. */
    bool isLong = false;
    /** Others that overtook it while it didn't fit. */
    std::uint32_t bypassed = 0;
    /** It is predicted to miss its deadline: its tier presses on the floor. */
    bool isDoomed = false;
    /** Its place in the fair queue. */
    std::list<WaitingRequest *>::iterator place {};
};

} // namespace Apricothook
