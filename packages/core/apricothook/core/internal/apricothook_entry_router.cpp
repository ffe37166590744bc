#include <apricothook/core/internal/apricothook_entry_router.hpp>

namespace Apricothook {

std::vector<ShardId> EntryRouter::shardsFor(const ServiceId &service, const RequestProfile &sketch,
                                            Instant now)
{
    const ShardMap *map = m_steward.shardMap();
    if (map == nullptr)
        return {};
    ShardQuestion question;
    question.service = service;
    question.model = sketch.model;
    if (!sketch.prefixes.empty())
        question.firstPrefix = sketch.prefixes.front();
    return m_chooser.choose(*map, question, now);
}

std::vector<ShardId> EntryRouter::shards() const
{
    std::vector<ShardId> ids;
    if (m_steward.shardMap() == nullptr)
        return ids;
    for (const auto &[id, shard] : m_steward.shardMap()->shards())
        ids.push_back(id);
    return ids;
}

MemberId EntryRouter::stewardOf(const ShardId &shard)
{
    const ShardMap *map = m_steward.shardMap();
    return map == nullptr ? m_members.self().member : map->stewardOf(shard, m_members);
}

void EntryRouter::configurationApplied()
{
    m_chooser.forgetOthers(*m_steward.shardMap());
}

} // namespace Apricothook
