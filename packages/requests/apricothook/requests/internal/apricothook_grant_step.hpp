#pragma once

#include <apricothook/model/apricothook_refusal.hpp>
#include <apricothook/requests/apricothook_request_life.hpp>

#include <optional>

namespace Apricothook {

struct FlowContext;

/** Gets the one grant to dispatch from every home of the key. */
class GrantStep
{
public:
    explicit GrantStep(FlowContext &context) : m_context(context) { }
    enum class Progress {
        Waiting,
        Granted,
        RanBefore, ///< Another attempt holds the grant: its answer must be found.
        Refused,
    };
    struct Advance
    {
        Progress progress = Progress::Waiting;
        std::optional<Refusal> refusal;
    };

    Advance begin(RequestLife &exchange, Instant now, Outbox &out);
    Advance replied(RequestLife &exchange, const MemberId &from, const GrantReply &reply,
                    Instant now, Outbox &out);
    void due(RequestLife &exchange, Instant now, Outbox &out);
    /** Gives back what homes may have granted for an attempt that was never sent. */
    void withdraw(RequestLife &exchange, Instant now, Outbox &out);

private:
    void ask(RequestLife &exchange, Instant now, Outbox &out);

    FlowContext &m_context;
};

} // namespace Apricothook
