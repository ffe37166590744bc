#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>

#include <string_view>
#include <vector>

namespace Apricothook {

enum class TargetCondition { Serving, Leaving, Suspended, Trial, Straggling };

/** One target as its steward sees it, for the operators' status. */
struct TargetSnapshot
{
    TargetId target;
    TargetCondition condition = TargetCondition::Serving;
    std::uint32_t running = 0;
    std::uint32_t usableSlots = 0;
    std::uint64_t kvTokensUsed = 0;
    /** Learned, in tokens per second. */
    double prefillRate = 0;
    double decodeRate = 0;
    /** Observed over predicted time; 1 is as learned. */
    double stragglerFactor = 1;
};

struct ShardSnapshot
{
    ShardId shard;
    Tier floor;
    /** False during a hand-over. */
    bool isReady = true;
    /** By rank - 1. */
    std::vector<std::uint32_t> queued;
    std::vector<TargetSnapshot> targets;
};

std::string_view nameOf(TargetCondition condition);

} // namespace Apricothook
