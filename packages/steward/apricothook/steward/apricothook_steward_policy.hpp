#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstddef>
#include <cstdint>

namespace Apricothook {

/** Numbers of the stewards' decisions. Operators don't set them; docs/PLACEMENT.md weighs them. */
struct StewardPolicy
{
    /** A reservation lapses this long after its last renewal. */
    Duration reservationLease = std::chrono::seconds(10);
    /** How long a new steward waits for the entries' reports. */
    Duration handOver = std::chrono::seconds(1);
    /** How long a new steward holds lower tiers at least, to hear the floors of others. */
    Duration floorHold = std::chrono::milliseconds(300);
    /** How long a member that was a steward is still told of floors: views change unevenly. */
    Duration stewardGrace = std::chrono::seconds(5);
    /** How long an ended attempt is remembered, so that a late message doesn't revive it. */
    Duration endedKeep = std::chrono::seconds(60);
    std::size_t endedLimit = 8192;
    /** Waiting requests per shard from which on the lowest tiers are shed. */
    std::size_t queueBound = 512;
    /** Waiting requests per shard from which on new ones stay unanswered; entries send again. */
    std::size_t queueLimit = 4096;
    /** A request that has other shards to turn to waits here when it is for no longer than this. */
    Duration shortWait = std::chrono::milliseconds(50);
    /** Times that others may overtake a request that doesn't fit yet. */
    std::uint32_t bypassLimit = 8;
    /** Requests of one customer and lane that are looked at for one whose prefix is cached there.
     */
    std::size_t lookAhead = 8;
    /** Customers of a tier that are tried for one free slot. */
    std::size_t tryLimit = 8;
    /** One of so many slots is kept for the upper half of the tiers. */
    std::uint32_t trunkDivisor = 12;
    /** A prefill that takes longer than this is long; a target works on one of them at a time. */
    Duration longPrefill = std::chrono::milliseconds(500);
    /** One target stays free of long prefill while the last short request is this recent. */
    Duration shortMemory = std::chrono::seconds(60);
    /** A target is chosen only when it is predicted to be done at this share of the patience. */
    double patienceMargin = 0.9;
    /** Share of its slack that a request waits before its tier presses on the floor. */
    double pressureShare = 0.75;
    /** A target slower than this factor gets one request at a time until it has caught up. */
    double suspectFactor = 3.0;
    /** How often a summary goes to a member that asks. */
    Duration summaryInterval = std::chrono::milliseconds(250);
    /** How long a raised floor holds at its receiver unless it is renewed. */
    Duration floorLease = std::chrono::seconds(6);
    Duration floorRenewal = std::chrono::seconds(1);
    Duration floorResend = std::chrono::milliseconds(100);
    /** Time without pressure before a floor falls by one tier. */
    Duration floorCalm = std::chrono::milliseconds(1500);
};

} // namespace Apricothook
