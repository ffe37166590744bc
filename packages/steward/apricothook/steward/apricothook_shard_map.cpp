#include <apricothook/steward/apricothook_shard_map.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace Apricothook {

namespace {

using Group = std::pair<ServiceId, RegionId>;

std::map<DataCentreId, RegionId> regionsByDataCentre(const FleetText &text)
{
    std::map<DataCentreId, RegionId> regions;
    for (const DataCentre &dataCentre : text.dataCentres)
        regions.emplace(dataCentre.id, dataCentre.region);
    return regions;
}

/** The index that the target likes best among those that have room. */
std::uint32_t bestIndex(const Target &target, const std::vector<std::uint32_t> &sizes,
                        std::uint32_t capacity)
{
    std::uint32_t best = 0;
    std::uint64_t bestWeight = 0;
    for (std::uint32_t index = 0; index < sizes.size(); ++index) {
        const std::uint64_t weight = rendezvousWeight(target.id.text(), std::to_string(index));
        if (sizes[index] < capacity && weight >= bestWeight) {
            best = index;
            bestWeight = weight;
        }
    }
    return best;
}

std::uint64_t seedOf(const ShardId &id)
{
    const std::uint64_t seed = hashOf(id.region.text(), hashOf(id.service.text()));
    return hashOf(std::to_string(id.index), seed);
}

template <typename Accepts>
MemberId rendezvous(const std::vector<MemberUpdate> &members, std::uint64_t seed, Accepts accepts)
{
    const MemberUpdate *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const MemberUpdate &member : members) {
        if (!accepts(member))
            continue;
        const std::uint64_t weight = hashOf(member.instance.member.text(), seed);
        if (!best || weight > bestWeight) {
            best = &member;
            bestWeight = weight;
        }
    }
    return best ? best->instance.member : MemberId();
}

/** `left`: a member that isn't taken unless there is no other. */
MemberId chooseSteward(const ShardId &id, const std::vector<MemberUpdate> &members,
                       const MemberId &left = MemberId())
{
    const std::uint64_t seed = seedOf(id);
    const auto stays = [&](const MemberUpdate &m) {
        return m.state != MemberState::Leaving && m.instance.member != left;
    };
    const auto isNear = [&](const MemberUpdate &m) { return stays(m) && m.region == id.region; };
    // A steward that died would keep its shard until its death is certain, and a service with one
    // shard would serve nobody for that long. One that is suspected wrongly is asked again as soon
    // as it has refuted; until then two may fill the same slots, which costs time only.
    const auto answers
        = [&](const MemberUpdate &m) { return isNear(m) && m.state != MemberState::Suspect; };
    MemberId steward = rendezvous(members, seed, answers);
    if (steward.isEmpty())
        steward = rendezvous(members, seed, isNear);
    if (steward.isEmpty())
        steward = rendezvous(members, seed, stays);
    if (steward.isEmpty())
        steward = rendezvous(members, seed, [](const MemberUpdate &) { return true; });
    return steward;
}

} // namespace

ShardMap::ShardMap(const FleetText &text)
{
    const std::map<DataCentreId, RegionId> regions = regionsByDataCentre(text);
    std::map<Group, std::vector<const Target *>> groups;
    for (const Target &target : text.targets) {
        const auto region = regions.find(target.dataCentre);
        const RegionId id = region == regions.end() ? RegionId() : region->second;
        groups[{target.service, id}].push_back(&target);
    }
    const std::uint32_t limit = std::clamp(text.policy.shardTargets, 1U, MaximumShardTargets);
    for (auto &[group, targets] : groups) {
        cut(group.first, group.second, std::move(targets), limit);
        m_regions[group.first].push_back(group.second);
    }
    index();
}

void ShardMap::cut(const ServiceId &service, const RegionId &region,
                   std::vector<const Target *> targets, std::uint32_t limit)
{
    const auto total = static_cast<std::uint32_t>(targets.size());
    const std::uint32_t shards = (total + limit - 1) / limit;
    // One more than the even share: without that room, one new target would push many along.
    const std::uint32_t capacity = std::min(limit, (total + shards - 1) / shards + 1);
    std::sort(targets.begin(), targets.end(), [](const Target *a, const Target *b) {
        return std::pair(hashOf(a->id.text()), a->id) < std::pair(hashOf(b->id.text()), b->id);
    });
    std::vector<std::uint32_t> sizes(shards, 0);
    for (const Target *target : targets) {
        const std::uint32_t index = bestIndex(*target, sizes, capacity);
        ++sizes[index];
        const ShardId id {service, region, index};
        m_shards[id].id = id;
        m_shards[id].targets.push_back(*target);
        m_shardOf.emplace(target->id, id);
    }
}

void ShardMap::index()
{
    for (const auto &[id, shard] : m_shards) {
        std::set<ModelId> models {ModelId()};
        for (const Target &target : shard.targets)
            models.insert(target.models.begin(), target.models.end());
        for (const ModelId &model : models)
            m_index[{id.service, id.region, model}].push_back(id);
    }
}

const Shard *ShardMap::find(const ShardId &id) const
{
    const auto found = m_shards.find(id);
    return found == m_shards.end() ? nullptr : &found->second;
}

std::optional<ShardId> ShardMap::shardOf(const TargetId &target) const
{
    const auto found = m_shardOf.find(target);
    return found == m_shardOf.end() ? std::nullopt : std::optional(found->second);
}

const std::vector<ShardId> &ShardMap::shardsOf(const ServiceId &service, const RegionId &region,
                                               const ModelId &model) const
{
    static const std::vector<ShardId> none;
    const auto found = m_index.find({service, region, model});
    return found == m_index.end() ? none : found->second;
}

const std::vector<RegionId> &ShardMap::regionsOf(const ServiceId &service) const
{
    static const std::vector<RegionId> none;
    const auto found = m_regions.find(service);
    return found == m_regions.end() ? none : found->second;
}

std::vector<ShardId> ShardMap::shardsOf(const ServiceId &service) const
{
    std::vector<ShardId> all;
    for (const RegionId &region : regionsOf(service)) {
        const std::vector<ShardId> &some = shardsOf(service, region, ModelId());
        all.insert(all.end(), some.begin(), some.end());
    }
    return all;
}

MemberId ShardMap::stewardOf(const ShardId &id, const MemberView &view) const
{
    if (m_view != &view || m_viewVersion != view.version()) {
        m_stewards.clear();
        m_view = &view;
        m_viewVersion = view.version();
    }
    const auto known = m_stewards.find(id);
    if (known != m_stewards.end())
        return known->second;
    return m_stewards.emplace(id, chooseSteward(id, view.live())).first->second;
}

MemberId ShardMap::deputyOf(const ShardId &id, const MemberView &view) const
{
    return chooseSteward(id, view.live(), stewardOf(id, view));
}

} // namespace Apricothook
