#pragma once

#include <apricothook/ports/apricothook_core_event.hpp>
#include <apricothook/requests/apricothook_request_life.hpp>
#include <apricothook/requests/internal/apricothook_inquiry_step.hpp>

namespace Apricothook {

class ExchangeBook;
class ReserveStep;
class RunStep;
struct FlowContext;

/**
 * What is done for a key that may have run before: its answer is found, awaited or fetched, its
 * stream is resumed, or the caller gets the truth about it. Nothing here dispatches.
 */
class EarlierRun
{
public:
    /** What the flow does with the exchange after this. */
    enum class Next {
        Nothing,
        Reserve, ///< It is proven that the key never ran: on with a new attempt.
    };
    EarlierRun(FlowContext &context, ExchangeBook &book, ReserveStep &reserve, RunStep &run);

    /** Asks the key's homes; false when there is none that could be asked. */
    bool ask(RequestLife &exchange, Instant now, Outbox &out);
    /** Waits for the answer of the run that a home spoke of. */
    void await(RequestLife &exchange, Instant now, Outbox &out);
    /** GET /v1/requests/KEY by a customer. */
    void lookup(const KeyLookup &lookup, Instant now, Outbox &out);
    /** Refuses; what says "not run" of a caller's key is confirmed by the key's homes first. */
    void refuse(RequestLife &exchange, const Refusal &refusal, Instant now, Outbox &out);
    Next replied(const MemberId &from, const KeyQueryReply &reply, Instant now, Outbox &out);
    void arrived(const KeptAnswerFetched &arrived, Instant now);
    /** No home has answered in time: asks again. */
    void due(RequestLife &exchange, Instant now, Outbox &out);
    /** The home is gone or has forgotten: looks for the run's stream, then tells the truth. */
    void forgotten(RequestLife &exchange, Instant now, Outbox &out);
    void replied(const MemberId &from, const HintReply &reply, Instant now);
    void patienceOver(RequestLife &exchange, Instant now);

private:
    Next confirmed(RequestLife &exchange, const InquiryStep::Advance &advance, Instant now,
                   Outbox &out);
    Next answerAwaited(RequestLife &exchange, const InquiryStep::Advance &advance, Instant now,
                       Outbox &out);
    void askWitnesses(RequestLife &exchange, Instant now, Outbox &out);
    void give(RequestLife &exchange, Instant now);
    /** For a run whose answer nobody keeps: its stream, where the target may still have it. */
    void readAgain(RequestLife &exchange, Instant now);
    void answerLookup(RequestLife &exchange, const InquiryStep::Advance &advance, Instant now);
    void takeOver(RequestLife &exchange, const TargetId &target, Instant now);

    FlowContext &m_context;
    ExchangeBook &m_book;
    ReserveStep &m_reserve;
    RunStep &m_run;
    InquiryStep m_inquiry;
};

} // namespace Apricothook
