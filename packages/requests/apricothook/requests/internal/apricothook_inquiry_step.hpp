#pragma once

#include <apricothook/ports/apricothook_core_event.hpp>
#include <apricothook/requests/apricothook_request_life.hpp>

#include <memory>

namespace Apricothook {

struct FlowContext;

/**
 * Asks a key's homes what became of it: before a refusal may say "not run" of a key that the caller
 * chose, for a request that was granted before, and for GET /v1/requests/KEY.
 */
class InquiryStep
{
public:
    explicit InquiryStep(FlowContext &context) : m_context(context) { }
    enum class Progress {
        Waiting,
        NotRun, ///< No home granted it, or its runs were proved not to have happened.
        Running,
        Answered, ///< `exchange.holder` keeps the answer.
        Unknown,
        Forgotten, ///< The home lost its memory and can't say.
        Conflict,  ///< The key belongs to another request.
    };
    struct Advance
    {
        Progress progress = Progress::Waiting;
        /** Where the run went, as far as it is known. */
        TargetId target;
    };

    /** Asks all homes; false when the key has none that could be asked. */
    bool ask(RequestLife &exchange, Instant now, Outbox &out);
    Advance replied(RequestLife &exchange, const MemberId &from, const KeyQueryReply &reply);
    /** True when the answer is in the caller's stream; false when it must be fetched or is gone. */
    bool giveKept(RequestLife &exchange, Instant now);
    /** Asks the holder for the answer; false when this daemon is the holder or none is known. */
    bool fetch(RequestLife &exchange, Instant now);

private:
    FlowContext &m_context;
};

/** Writes a kept answer into a stream. */
void replay(const KeptAnswer &kept, AnswerStream &stream);

} // namespace Apricothook
