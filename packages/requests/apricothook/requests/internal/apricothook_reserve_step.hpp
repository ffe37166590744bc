#pragma once

#include <apricothook/model/apricothook_refusal.hpp>
#include <apricothook/requests/apricothook_exchange.hpp>

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
    Advance begin(Exchange &exchange, std::uint32_t outputTokens, Instant now, Outbox &out);
    Advance replied(Exchange &exchange, const MemberId &from, const ReserveReply &reply,
                    Instant now, Outbox &out);
    /** The reply didn't come in time. */
    Advance due(Exchange &exchange, Instant now, Outbox &out);
    /** Another daemon may have become the steward: ask it at once. */
    void membersChanged(Exchange &exchange, Instant now, Outbox &out);
    /** Gives the room back, or the place in the queue. */
    void cancel(const Exchange &exchange, Outbox &out) const;

private:
    void ask(Exchange &exchange, Instant now, Outbox &out);
    Advance nextShard(Exchange &exchange, Instant now, Outbox &out);
    Advance refusedBy(Exchange &exchange, const ReserveReply &reply, Instant now, Outbox &out);

    FlowContext &m_context;
};

} // namespace Apricothook
