#include <apricothook/requests/internal/apricothook_earlier_run.hpp>

#include <apricothook/requests/apricothook_customer_key.hpp>
#include <apricothook/requests/internal/apricothook_exchange_book.hpp>
#include <apricothook/requests/internal/apricothook_flow_context.hpp>
#include <apricothook/requests/internal/apricothook_key_state_document.hpp>
#include <apricothook/requests/internal/apricothook_resend_delay.hpp>
#include <apricothook/requests/internal/apricothook_reserve_step.hpp>
#include <apricothook/requests/internal/apricothook_run_step.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr Duration ConfirmPatience = std::chrono::milliseconds(500);
constexpr Duration LookupPatience = std::chrono::seconds(1);
constexpr Duration WitnessPatience = std::chrono::milliseconds(500);
constexpr Duration AwaitPoll = std::chrono::milliseconds(250);
constexpr Duration RunningRetryAfter = std::chrono::seconds(1);

const Refusal OutcomeLost {RefusalReason::OutcomeLost, Outcome::Unknown, {}};
const Refusal MemoryLost {RefusalReason::HomeLostMemory, Outcome::Unknown, {}};
const Refusal AnswerGone {RefusalReason::AnswerGone, Outcome::Unknown, {}};

/** These are about this very request, whatever became of the key before. */
bool needsNoInquiry(RefusalReason reason)
{
    return reason == RefusalReason::KeyConflict || reason == RefusalReason::BadRequest;
}

} // namespace

EarlierRun::EarlierRun(FlowContext &context, ExchangeBook &book, ReserveStep &reserve, RunStep &run)
    : m_context(context), m_book(book), m_reserve(reserve), m_run(run), m_inquiry(context)
{
}

bool EarlierRun::ask(RequestLife &exchange, Instant now, Outbox &out)
{
    return m_inquiry.ask(exchange, now, out);
}

void EarlierRun::await(RequestLife &exchange, Instant now, Outbox &out)
{
    exchange.step = ExchangeStep::AwaitingAnswer;
    exchange.sends = 0;
    if (!m_inquiry.ask(exchange, now, out))
        m_book.finish(exchange, OutcomeLost, now);
}

void EarlierRun::lookup(const KeyLookup &lookup, Instant now, Outbox &out)
{
    const ConfigurationIndex *index = m_context.index.get();
    const Customer *customer = index ? index->customerOfToken(lookup.tokenHash) : nullptr;
    if (customer == nullptr) {
        lookup.answer->refuse({RefusalReason::Unauthorized, Outcome::NotRun, {}});
        return;
    }
    RequestLife &exchange = m_book.open(lookup.exchange);
    exchange.request.exchange = lookup.exchange;
    exchange.request.answer = lookup.answer;
    exchange.configuration = index->configuration();
    exchange.customer = customer->id;
    exchange.key = keyOfCustomer(lookup.key, customer->id);
    exchange.step = ExchangeStep::Lookup;
    exchange.arrived = now;
    exchange.deadline = now + LookupPatience;
    lookup.answer->setKey(lookup.key);
    if (m_inquiry.giveKept(exchange, now))
        m_book.erase(exchange);
    else if (!m_inquiry.ask(exchange, now, out))
        answerLookup(exchange, {InquiryStep::Progress::Unknown, {}}, now);
}

void EarlierRun::refuse(RequestLife &exchange, const Refusal &refusal, Instant now, Outbox &out)
{
    // Whoever sends a key again and reads "not run" will use a new key. The words must be true of
    // the key, not just of this attempt, or the caller's next step runs the request twice.
    const bool mustAsk = refusal.outcome == Outcome::NotRun && exchange.isKeyGiven
        && !needsNoInquiry(refusal.reason);
    if (!mustAsk) {
        m_book.finish(exchange, refusal, now);
        return;
    }
    exchange.step = ExchangeStep::Confirming;
    exchange.sends = 0;
    exchange.pendingRefusal = refusal;
    exchange.deadline = now + ConfirmPatience;
    if (!m_inquiry.ask(exchange, now, out)) {
        exchange.pendingRefusal->outcome = Outcome::Unknown;
        m_book.finish(exchange, exchange.pendingRefusal, now);
    }
}

EarlierRun::Next EarlierRun::replied(const MemberId &from, const KeyQueryReply &reply, Instant now,
                                     Outbox &out)
{
    RequestLife *exchange = m_book.find(ExchangeId(reply.sequence));
    if (exchange == nullptr)
        return Next::Nothing;
    const InquiryStep::Advance advance = m_inquiry.replied(*exchange, from, reply);
    if (advance.progress == InquiryStep::Progress::Waiting)
        return Next::Nothing;
    switch (exchange->step) {
    case ExchangeStep::Reserving:
        // A late copy of a question may meet this exchange's own grant, which was proved not run.
        // Taking it for another's run would leave the request waiting for an answer of nobody.
        if (advance.progress == InquiryStep::Progress::NotRun || exchange->mayBeGranted)
            return Next::Nothing;
        m_reserve.cancel(*exchange, out);
        exchange->step = ExchangeStep::AwaitingAnswer;
        return answerAwaited(*exchange, advance, now, out);
    case ExchangeStep::AwaitingAnswer:
        return answerAwaited(*exchange, advance, now, out);
    case ExchangeStep::Confirming:
        return confirmed(*exchange, advance, now, out);
    case ExchangeStep::Lookup:
        answerLookup(*exchange, advance, now);
        return Next::Nothing;
    default:
        return Next::Nothing;
    }
}

EarlierRun::Next EarlierRun::confirmed(RequestLife &exchange, const InquiryStep::Advance &advance,
                                       Instant now, Outbox &out)
{
    // The home hasn't heard yet that this exchange's own attempt didn't run: it is asked again.
    const bool isOwnRun = advance.progress == InquiryStep::Progress::Running
        && exchange.holder == m_context.ports.members.self()
        && m_context.outcomes.isPending(m_context.attemptOf(exchange));
    if (isOwnRun)
        return Next::Nothing;
    if (advance.progress != InquiryStep::Progress::NotRun)
        exchange.pendingRefusal->outcome = Outcome::Unknown;
    const bool isBetterKnown = advance.progress == InquiryStep::Progress::Answered
        || advance.progress == InquiryStep::Progress::Conflict;
    if (isBetterKnown)
        return answerAwaited(exchange, advance, now, out);
    m_book.finish(exchange, exchange.pendingRefusal, now);
    return Next::Nothing;
}

EarlierRun::Next EarlierRun::answerAwaited(RequestLife &exchange,
                                           const InquiryStep::Advance &advance, Instant now,
                                           Outbox &out)
{
    switch (advance.progress) {
    case InquiryStep::Progress::Waiting:
        break;
    case InquiryStep::Progress::NotRun:
        ++exchange.attempt;
        return Next::Reserve;
    case InquiryStep::Progress::Running:
        m_context.due.set(exchange.request.exchange, std::min(now + AwaitPoll, exchange.deadline));
        break;
    case InquiryStep::Progress::Unknown:
        takeOver(exchange, advance.target, now);
        break;
    case InquiryStep::Progress::Forgotten:
        forgotten(exchange, now, out);
        break;
    case InquiryStep::Progress::Conflict:
        m_book.finish(exchange, Refusal {RefusalReason::KeyConflict, Outcome::NotRun, {}}, now);
        break;
    case InquiryStep::Progress::Answered:
        exchange.runTarget = advance.target;
        give(exchange, now);
        break;
    }
    return Next::Nothing;
}

void EarlierRun::forgotten(RequestLife &exchange, Instant now, Outbox &out)
{
    exchange.homes.clear();
    if (exchange.serviceKind == ServiceKind::Engine) {
        for (const MemberId &witness :
             m_context.ports.homes.witnessesOf(exchange.key, exchange.customer, now))
            exchange.homes.push_back({witness, false, false});
    }
    if (exchange.homes.empty()) {
        m_book.finish(exchange, MemoryLost, now);
        return;
    }
    exchange.step = ExchangeStep::AskingWitness;
    exchange.sends = 0;
    exchange.deadline = std::min(exchange.deadline, now + WitnessPatience);
    askWitnesses(exchange, now, out);
}

void EarlierRun::askWitnesses(RequestLife &exchange, Instant now, Outbox &out)
{
    const HintQuery query {exchange.request.exchange.value(), exchange.key,
                           exchange.request.profile.fingerprint};
    for (const HomeAnswer &witness : exchange.homes) {
        if (!witness.isAnswered)
            out.push_back({witness.home, query});
    }
    ++exchange.sends;
    m_context.due.set(exchange.request.exchange,
                      std::min(now + resendDelay(exchange.sends), exchange.deadline));
}

void EarlierRun::replied(const MemberId &from, const HintReply &reply, Instant now)
{
    RequestLife *exchange = m_book.find(ExchangeId(reply.sequence));
    if (exchange == nullptr || exchange->step != ExchangeStep::AskingWitness
        || exchange->key != reply.key)
        return;
    if (!reply.target.isEmpty()) {
        // Only the stream is read: whatever the witness believes, nothing runs twice.
        exchange->deadline = exchange->arrived + exchange->requestClass.patience;
        takeOver(*exchange, reply.target, now);
        return;
    }
    const auto witness = std::ranges::find(exchange->homes, from, &HomeAnswer::home);
    if (witness == exchange->homes.end())
        return;
    witness->isAnswered = true;
    if (std::ranges::all_of(exchange->homes, &HomeAnswer::isAnswered))
        m_book.finish(*exchange, MemoryLost, now);
}

void EarlierRun::give(RequestLife &exchange, Instant now)
{
    if (m_inquiry.giveKept(exchange, now)) {
        m_context.record(RequestsEvent::AnswerFound, exchange, "holder=self");
        m_book.finish(exchange, {}, now);
    } else if (!m_inquiry.fetch(exchange, now)) {
        readAgain(exchange, now);
    }
}

void EarlierRun::readAgain(RequestLife &exchange, Instant now)
{
    // The entry that kept the answer is gone. An engine may still have the stream; reading it runs
    // nothing.
    const bool isEngine = exchange.serviceKind == ServiceKind::Engine;
    if (isEngine && !exchange.runTarget.isEmpty())
        takeOver(exchange, exchange.runTarget, now);
    else
        m_book.finish(exchange, AnswerGone, now);
}

void EarlierRun::answerLookup(RequestLife &exchange, const InquiryStep::Advance &advance,
                              Instant now)
{
    const bool isAnswered = advance.progress == InquiryStep::Progress::Answered;
    if (isAnswered && m_inquiry.giveKept(exchange, now)) {
        m_book.erase(exchange);
        return;
    }
    if (isAnswered && m_inquiry.fetch(exchange, now))
        return;
    writeStateDocument(callerKeyOf(exchange.key), advance.progress, *exchange.request.answer);
    m_book.erase(exchange);
}

void EarlierRun::arrived(const KeptAnswerFetched &arrived, Instant now)
{
    RequestLife *exchange = m_book.find(arrived.exchange);
    if (exchange == nullptr)
        return;
    const bool isLookup = exchange->step == ExchangeStep::Lookup;
    if (!isLookup && exchange->step != ExchangeStep::AwaitingAnswer
        && exchange->step != ExchangeStep::Confirming)
        return;
    if (arrived.answer == nullptr) {
        if (isLookup)
            m_book.finish(*exchange, AnswerGone, now);
        else
            readAgain(*exchange, now);
        return;
    }
    replay(*arrived.answer, *exchange->request.answer);
    m_context.record(RequestsEvent::AnswerFound, *exchange,
                     "holder=" + exchange->holder.member.text());
    if (isLookup)
        m_book.erase(*exchange);
    else
        m_book.finish(*exchange, {}, now);
}

void EarlierRun::takeOver(RequestLife &exchange, const TargetId &targetId, Instant now)
{
    const Target *target = m_context.index->target(targetId);
    const bool canResume = target != nullptr && exchange.serviceKind == ServiceKind::Engine;
    exchange.isTakenOver = true;
    if (canResume && m_run.takeOver(exchange, *target, now))
        m_book.bindDispatch(exchange);
    else
        m_book.finish(exchange, OutcomeLost, now);
}

void EarlierRun::due(RequestLife &exchange, Instant now, Outbox &out)
{
    if (exchange.step == ExchangeStep::AskingWitness) {
        askWitnesses(exchange, now, out);
        return;
    }
    if (!m_inquiry.ask(exchange, now, out))
        m_book.finish(exchange, OutcomeLost, now);
}

void EarlierRun::patienceOver(RequestLife &exchange, Instant now)
{
    switch (exchange.step) {
    case ExchangeStep::AwaitingAnswer:
        m_book.finish(exchange,
                      Refusal {RefusalReason::AlreadyRunning, Outcome::Unknown, RunningRetryAfter},
                      now);
        return;
    case ExchangeStep::AskingWitness:
        m_book.finish(exchange, MemoryLost, now);
        return;
    case ExchangeStep::Confirming:
        // A home that doesn't answer may have granted the key to another entry.
        exchange.pendingRefusal->outcome = Outcome::Unknown;
        m_book.finish(exchange, exchange.pendingRefusal, now);
        return;
    default:
        m_book.finish(exchange, Refusal {RefusalReason::HomeUnreachable, Outcome::Unknown, {}},
                      now);
    }
}

} // namespace Apricothook
