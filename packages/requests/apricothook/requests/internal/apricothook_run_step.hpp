#pragma once

#include <apricothook/ports/apricothook_target_event.hpp>
#include <apricothook/requests/apricothook_request_life.hpp>

namespace Apricothook {

struct FlowContext;

/** Hands a granted exchange to the target adapter, and tells steward and homes how it ended. */
class RunStep
{
public:
    explicit RunStep(FlowContext &context) : m_context(context) { }
    /** False when nothing was sent and nothing will be: too late, or the adapter is full. */
    bool dispatch(RequestLife &exchange, const Target &target, Instant now);
    /** Fetches the stream of a run that another daemon dispatched before it died. */
    bool takeOver(RequestLife &exchange, const Target &target, Instant now);
    /** Tells a witness where the run of a caller's key went, if its stream could be resumed. */
    void hint(const RequestLife &exchange, Instant now, Outbox &out) const;
    void cancel(const RequestLife &exchange);
    /** Tells the steward; `ended` is what the adapter said. */
    void release(const RequestLife &exchange, const DispatchEnded &ended, Outbox &out) const;
    void report(const RequestLife &exchange, KeyEnd end, Instant now, Outbox &out);

private:
    DispatchOrder orderFor(const RequestLife &exchange, const Target &target) const;
    bool order(RequestLife &exchange, DispatchOrder order, Instant now);

    FlowContext &m_context;
    std::uint64_t m_lastDispatch = 0;
};

} // namespace Apricothook
