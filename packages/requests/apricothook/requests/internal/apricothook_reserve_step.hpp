#pragma once

#include <apricothook/model/apricothook_refusal.hpp>
#include <apricothook/requests/apricothook_request_life.hpp>

#include <optional>

namespace Apricothook {

struct FlowContext;

/** Finds room for an exchange: asks stewards, shard after shard. */
class ReserveStep
{
public:
    explicit ReserveStep(FlowContext &context) : m_context(context) { }
    enum class Progress { Waiting, Reserved, Refused };
    struct Advance
    {
        Progress progress = Progress::Waiting;
        std::optional<Refusal> refusal;
    };

    /** `outputTokens` is the expected length of the answer. */
    Advance begin(RequestLife &exchange, std::uint32_t outputTokens, Instant now, Outbox &out);
    Advance replied(RequestLife &exchange, const MemberId &from, const ReserveReply &reply,
                    Instant now, Outbox &out);
    /** The reply didn't come in time. */
    Advance due(RequestLife &exchange, Instant now, Outbox &out);
    /** Turns to other shards, at the next due time, where the present one isn't in `shards`. */
    void shardsChanged(RequestLife &exchange, const std::vector<ShardId> &shards, Instant now);
    /** Another daemon may have become the steward: ask it at once. */
    void membersChanged(RequestLife &exchange, Instant now, Outbox &out);
    /** Gives the room back, or the place in the queue. */
    void cancel(const RequestLife &exchange, Outbox &out) const;

private:
    void ask(RequestLife &exchange, Instant now, Outbox &out);
    Advance nextShard(RequestLife &exchange, Instant now, Outbox &out);
    Advance refusedBy(RequestLife &exchange, const ReserveReply &reply, Instant now, Outbox &out);

    FlowContext &m_context;
};

} // namespace Apricothook
