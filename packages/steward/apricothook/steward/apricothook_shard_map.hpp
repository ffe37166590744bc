#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/model/apricothook_member_view.hpp>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Apricothook {

/** Targets whose ledger one daemon keeps. */
struct Shard
{
    ShardId id;
    std::vector<Target> targets;
};

/** Most targets of a shard: placement keeps sets of targets as bits of one word. */
constexpr std::uint32_t MaximumShardTargets = 64;

/**
 * The targets of a fleet text cut into shards, the same at every daemon. A target keeps its shard
 * while the number of shards of its service and region stays; a new shard takes about its share.
 */
class ShardMap
{
public:
    explicit ShardMap(const FleetText &text);

    const std::map<ShardId, Shard> &shards() const { return m_shards; }
    const Shard *find(const ShardId &id) const;
    std::optional<ShardId> shardOf(const TargetId &target) const;
    /** Shards of the region that have a target for the model; empty model: any. By index. */
    const std::vector<ShardId> &shardsOf(const ServiceId &service, const RegionId &region,
                                         const ModelId &model) const;
    /** Regions that have targets of the service. */
    const std::vector<RegionId> &regionsOf(const ServiceId &service) const;
    /** All shards of the service, in every region. */
    std::vector<ShardId> shardsOf(const ServiceId &service) const;

    /**
     * The member that keeps the shard's ledger: rendezvous over the members of the shard's region
     * that neither leave nor are suspected; over its suspects where it has no other; over all that
     * don't leave where it has none; over all members where all leave. Worked out once for each
     * version of the view.
     */
    MemberId stewardOf(const ShardId &id, const MemberView &view) const;
    /** The steward in the eyes of members that take this one's steward for dead. */
    MemberId deputyOf(const ShardId &id, const MemberView &view) const;

private:
    struct IndexKey
    {
        ServiceId service;
        RegionId region;
        ModelId model;
        auto operator<=>(const IndexKey &) const = default;
    };

    void cut(const ServiceId &service, const RegionId &region, std::vector<const Target *> targets,
             std::uint32_t limit);
    void index();

    std::map<ShardId, Shard> m_shards;
    std::unordered_map<TargetId, ShardId> m_shardOf;
    std::map<IndexKey, std::vector<ShardId>> m_index;
    std::map<ServiceId, std::vector<RegionId>> m_regions;
    mutable std::map<ShardId, MemberId> m_stewards;
    mutable const MemberView *m_view = nullptr;
    mutable std::uint64_t m_viewVersion = 0;
};

} // namespace Apricothook
