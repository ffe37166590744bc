#pragma once

#include <apricothook/model/apricothook_member_view.hpp>
#include <apricothook/requests/apricothook_shard_router.hpp>
#include <apricothook/steward/apricothook_shard_chooser.hpp>
#include <apricothook/steward/apricothook_steward.hpp>

namespace Apricothook {

/** Routes by the shards of the text in force and by what stewards said of their load. */
class EntryRouter : public ShardRouter
{
public:
    EntryRouter(const Steward &steward, const MemberView &members, const RegionId &region,
                RandomSource &random)
        : m_steward(steward), m_members(members), m_chooser(region, random)
    {
    }

    std::vector<ShardId> shardsFor(const ServiceId &service, const RequestProfile &sketch,
                                   Instant now) override;
    std::vector<ShardId> shards() const override;
    MemberId stewardOf(const ShardId &shard) override;
    ShardChooser &chooser() { return m_chooser; }
    void configurationApplied();

private:
    const Steward &m_steward;
    const MemberView &m_members;
    ShardChooser m_chooser;
};

} // namespace Apricothook
