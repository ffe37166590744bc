#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/ports/apricothook_caller_event.hpp>

#include <vector>

namespace Apricothook {

/** Where an entry turns to for room. */
class ShardRouter
{
public:
    virtual ~ShardRouter() = default;
    /** Shards to ask, the best first; a few even where there are many. Empty: no target. */
    virtual std::vector<ShardId> shardsFor(const ServiceId &service, const RequestProfile &sketch,
                                           Instant now)
        = 0;
    /** All shards of the text in force. */
    virtual std::vector<ShardId> shards() const = 0;
    /** The shard's steward as this daemon sees the members; changes with them. */
    virtual MemberId stewardOf(const ShardId &shard) = 0;
};

} // namespace Apricothook
