#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/steward/apricothook_shard_map.hpp>

#include <map>
#include <vector>

namespace Apricothook {

/** What an entry must know to choose shards for a request. */
struct ShardQuestion
{
    ServiceId service;
    ModelId model;
    /** The hash of the prompt's first block; 0 when there is none. */
    PrefixHash firstPrefix;
};

/**
 * Chooses at an entry which few stewards to ask for a request, from summaries that came with
 * earlier answers. The cost doesn't grow with the shards: one shard by prefix and two drawn at
 * random are compared.
 */
class ShardChooser
{
public:
    static constexpr std::size_t MaximumShards = 3;

    ShardChooser(RegionId ownRegion, RandomSource &random);
    void learn(const ShardSummary &summary, Instant now);
    /** A refusal is news too: the shard is full for now. */
    void learnFull(const ShardId &shard, Duration retryAfter, Instant now);
    /** Drops what is known of shards that are gone. */
    void forgetOthers(const ShardMap &map);
    /** At most MaximumShards, in the order to ask; the last one as the last resort. */
    std::vector<ShardId> choose(const ShardMap &map, const ShardQuestion &question, Instant now);

private:
    struct Known
    {
        ShardSummary summary;
        Instant heard;
    };

    std::vector<RegionId> regionsByDistance(const ShardMap &map, const ServiceId &service) const;
    std::vector<ShardId> drawn(const std::vector<ShardId> &shards, PrefixHash prefix, Instant now);
    /** Predicted wait, drifting to a neutral value as the summary ages. */
    Duration waitOf(const ShardId &shard, Instant now) const;

    RegionId m_ownRegion;
    RandomSource &m_random;
    std::map<ShardId, Known> m_known;
};

} // namespace Apricothook
