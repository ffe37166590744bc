#include <apricothook/requests/apricothook_request_flow.hpp>

#include <apricothook/requests/apricothook_customer_key.hpp>
#include <apricothook/requests/apricothook_request_admission.hpp>
#include <apricothook/requests/internal/apricothook_key_state_document.hpp>
#include <apricothook/requests/internal/apricothook_request_summary.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr std::uint32_t MaximumAttemptsAtTargets = 3;
constexpr Duration ConfirmPatience = std::chrono::milliseconds(500);
constexpr Duration LookupPatience = std::chrono::seconds(1);
constexpr Duration AwaitPoll = std::chrono::milliseconds(250);
constexpr Duration RunningRetryAfter = std::chrono::seconds(1);
// A caller who gave a key may come back for the answer after a broken connection; work for a caller
// who can't is cancelled at once.
constexpr Duration AbandonedGrace = std::chrono::seconds(2);
constexpr Duration CancelRepeat = std::chrono::seconds(2);

std::string reasonText(const Refusal &refusal)
{
    return "reason=" + std::string(nameOf(refusal.reason))
        + " outcome=" + std::string(nameOf(refusal.outcome));
}

/** These are about this very request, whatever became of the key before. */
bool needsNoInquiry(RefusalReason reason)
{
    return reason == RefusalReason::KeyConflict || reason == RefusalReason::BadRequest;
}

} // namespace

RequestFlow::RequestFlow(const FlowPorts &ports)
    : m_context {ports, {}, {}}
    , m_reserve(m_context)
    , m_grant(m_context)
    , m_run(m_context)
    , m_inquiry(m_context)
    , m_inFlight(m_context)
{
}

void RequestFlow::applyConfiguration(std::shared_ptr<const Configuration> configuration)
{
    m_index = std::make_unique<ConfigurationIndex>(std::move(configuration));
}

void RequestFlow::setLeavingVms(const std::vector<VmId> &vms)
{
    m_leavingVms = {vms.begin(), vms.end()};
}

bool RequestFlow::usesModel(const TargetId &target, const ModelId &model) const
{
    return std::ranges::any_of(m_exchanges, [&](const auto &entry) {
        const RequestLife &exchange = entry.second;
        return exchange.reservation && exchange.reservation->target == target
            && exchange.request.sketch.model == model;
    });
}

// ---- Arrival.

void RequestFlow::handle(CallerRequest request, Instant now, Outbox &out)
{
    const std::shared_ptr<AnswerStream> answer = request.answer;
    if (m_isClosed) {
        answer->refuse({RefusalReason::Draining, Outcome::NotRun, Duration::zero()});
        return;
    }
    const ExchangeId id = request.exchange;
    Result<RequestLife, Refusal> admitted = admitRequest(std::move(request), m_index.get(), now);
    if (!admitted) {
        answer->refuse(admitted.error());
        return;
    }
    RequestLife &exchange = m_exchanges[id] = std::move(admitted.value());
    if (!exchange.isKeyGiven)
        exchange.key = m_context.ports.homes.mint();
    answer->setKey(callerKeyOf(exchange.key));
    m_context.record(RequestsEvent::Accepted, exchange,
                     "customer=" + exchange.customer.text()
                         + " class=" + exchange.requestClass.id.text()
                         + " tier=" + std::to_string(exchange.requestClass.tier.rank()));
    start(exchange, now, out);
}

void RequestFlow::start(RequestLife &exchange, Instant now, Outbox &out)
{
    AdmissionGate &gate = m_context.ports.gate;
    if (gate.isQuarantined(exchange.request.sketch.fingerprint, now)) {
        giveUp(exchange, {RefusalReason::Quarantined, Outcome::NotRun, {}}, now, out);
        return;
    }
    if (const std::optional<Refusal> refusal = gate.admit(exchange.customer, now)) {
        giveUp(exchange, *refusal, now, out);
        return;
    }
    m_retries.firstAttempt();
    // A request that is sent again finds its answer without waiting for room.
    if (exchange.isKeyGiven && !m_inquiry.ask(exchange, now, out)) {
        const GrantStep::Advance advance = m_grant.begin(exchange, now, out);
        finish(exchange, advance.refusal, now);
        return;
    }
    reserve(exchange, now, out);
}

void RequestFlow::handle(const CallerGone &gone, Instant now, Outbox &out)
{
    RequestLife *exchange = find(gone.exchange);
    if (exchange == nullptr)
        return;
    exchange->isAbandoned = true;
    m_context.record(RequestsEvent::CallerLeft, *exchange, "");
    switch (exchange->step) {
    case ExchangeStep::Granting:
        m_grant.withdraw(*exchange, now, out);
        [[fallthrough]];
    case ExchangeStep::Reserving:
        m_reserve.cancel(*exchange, out);
        finish(*exchange, {}, now);
        return;
    case ExchangeStep::Running:
        // A plain service can't undo what it began, and its answer is kept for a resend.
        if (exchange->serviceKind == ServiceKind::Plain)
            return;
        if (exchange->isKeyGiven)
            m_context.due.set(gone.exchange, std::min(now + AbandonedGrace, exchange->deadline));
        else
            m_run.cancel(*exchange);
        return;
    default:
        finish(*exchange, {}, now);
    }
}

// ---- Room.

void RequestFlow::reserve(RequestLife &exchange, Instant now, Outbox &out)
{
    const std::vector<TargetId> crashed
        = m_context.ports.gate.excludedFor(exchange.request.sketch.fingerprint, now);
    for (const TargetId &target : crashed) {
        if (std::ranges::find(exchange.excluded, target) == exchange.excluded.end())
            exchange.excluded.push_back(target);
    }
    const std::uint32_t tokens
        = m_output.expected(exchange.requestClass, exchange.request.sketch.maximumTokens);
    advance(exchange, m_reserve.begin(exchange, tokens, now, out), now, out);
}

void RequestFlow::handle(const MemberId &from, const ReserveReply &reply, Instant now, Outbox &out)
{
    RequestLife *exchange = find(reply.attempt.exchange);
    const bool isWanted = exchange != nullptr && exchange->step == ExchangeStep::Reserving
        && reply.attempt == m_context.attemptOf(*exchange);
    if (isWanted) {
        advance(*exchange, m_reserve.replied(*exchange, from, reply, now, out), now, out);
        return;
    }
    // Room for an exchange that has gone on: given back, or it would be held until its lease ends.
    const bool isHeld = exchange != nullptr && exchange->reservation
        && exchange->reservation->attempt == reply.attempt;
    if (reply.verdict == ReserveVerdict::Reserved && !isHeld
        && reply.attempt.entry == m_context.ports.members.self())
        out.push_back({from, ReserveCancel {reply.attempt, reply.shard}});
}

void RequestFlow::advance(RequestLife &exchange, const ReserveStep::Advance &advance, Instant now,
                          Outbox &out)
{
    switch (advance.progress) {
    case ReserveStep::Progress::Waiting:
        return;
    case ReserveStep::Progress::Refused:
        giveUp(exchange, *advance.refusal, now, out);
        return;
    case ReserveStep::Progress::Reserved:
        exchange.queued = now - exchange.arrived;
        m_context.record(RequestsEvent::Reserved, exchange,
                         "target=" + exchange.reservation->target.text()
                             + " cached=" + std::to_string(exchange.reservation->cachedTokens));
        grant(exchange, now, out);
    }
}

// ---- Grant.

void RequestFlow::grant(RequestLife &exchange, Instant now, Outbox &out)
{
    advance(exchange, m_grant.begin(exchange, now, out), now, out);
}

void RequestFlow::handle(const MemberId &from, const GrantReply &reply, Instant now, Outbox &out)
{
    RequestLife *exchange = find(reply.attempt.exchange);
    if (exchange != nullptr && exchange->step == ExchangeStep::Granting)
        advance(*exchange, m_grant.replied(*exchange, from, reply, now, out), now, out);
}

void RequestFlow::advance(RequestLife &exchange, const GrantStep::Advance &advance, Instant now,
                          Outbox &out)
{
    switch (advance.progress) {
    case GrantStep::Progress::Waiting:
        return;
    case GrantStep::Progress::Granted:
        dispatch(exchange, now, out);
        return;
    case GrantStep::Progress::RanBefore:
        m_reserve.cancel(exchange, out);
        exchange.reservation.reset();
        await(exchange, now, out);
        return;
    case GrantStep::Progress::Refused:
        m_reserve.cancel(exchange, out);
        exchange.reservation.reset();
        giveUp(exchange, *advance.refusal, now, out);
    }
}

// ---- Run.

void RequestFlow::dispatch(RequestLife &exchange, Instant now, Outbox &out)
{
    const Target *target = m_index->target(exchange.reservation->target);
    // The steward may not have heard yet that the target is leaving.
    const bool isLeaving = target == nullptr || m_leavingVms.contains(target->vm);
    if (isLeaving || !m_run.dispatch(exchange, *target, now)) {
        DispatchEnded unsent;
        unsent.end = RunEnd::Cancelled;
        unsent.isProvenNotRun = true;
        tryAgain(exchange, unsent, now, out);
        return;
    }
    m_dispatches[exchange.dispatch] = exchange.request.exchange;
}

void RequestFlow::handle(const DispatchStarted &started, Instant)
{
    const auto found = m_dispatches.find(started.dispatch);
    if (found == m_dispatches.end())
        return;
    m_exchanges[found->second].firstByte = started.firstByte;
}

void RequestFlow::handle(const DispatchEnded &ended, Instant now, Outbox &out)
{
    const auto found = m_dispatches.find(ended.dispatch);
    if (found == m_dispatches.end())
        return;
    RequestLife &exchange = m_exchanges[found->second];
    m_dispatches.erase(found);
    exchange.ended = ended;
    if (!exchange.isTakenOver) {
        const TargetId &target = exchange.reservation->target;
        m_context.ports.gate.runEnded(exchange.request.sketch.fingerprint, target, ended.end, now,
                                      out);
    }
    if (ended.end != RunEnd::Answered) {
        runFailed(exchange, ended, now, out);
        return;
    }
    m_run.release(exchange, ended, out);
    m_run.report(exchange, KeyEnd::Answered, now, out);
    if (ended.outputTokens > 0)
        m_output.learn(exchange.requestClass.id, ended.outputTokens);
    if (const std::shared_ptr<const KeptAnswer> kept = exchange.request.answer->retained())
        m_context.ports.answers.keep(exchange.key, kept, now);
    m_context.record(RequestsEvent::Answered, exchange,
                     "tokens=" + std::to_string(ended.outputTokens)
                         + " resumes=" + std::to_string(ended.resumes));
    finish(exchange, {}, now);
}

void RequestFlow::runFailed(RequestLife &exchange, const DispatchEnded &ended, Instant now,
                            Outbox &out)
{
    m_context.record(RequestsEvent::TargetFailed, exchange,
                     "end=" + std::to_string(static_cast<int>(ended.end))
                         + " proven-not-run=" + (ended.isProvenNotRun ? "yes" : "no"));
    if (exchange.isTakenOver) {
        finish(exchange, Refusal {RefusalReason::OutcomeLost, Outcome::Unknown, {}}, now);
        return;
    }
    if (ended.isProvenNotRun) {
        tryAgain(exchange, ended, now, out);
        return;
    }
    m_run.release(exchange, ended, out);
    m_run.report(exchange, KeyEnd::Unknown, now, out);
    const bool isLate = ended.end == RunEnd::TimedOut || now >= exchange.deadline;
    const RefusalReason reason
        = isLate ? RefusalReason::TargetTimeout : RefusalReason::TargetFailed;
    finish(exchange, Refusal {reason, Outcome::Unknown, {}}, now);
}

void RequestFlow::tryAgain(RequestLife &exchange, const DispatchEnded &ended, Instant now, Outbox &out)
{
    m_run.release(exchange, ended, out);
    if (ended.end == RunEnd::ConnectFailed || ended.end == RunEnd::Refused)
        exchange.excluded.push_back(exchange.reservation->target);
    exchange.reservation.reset();
    const bool isPossible = now < exchange.deadline && !exchange.isAbandoned
        && exchange.excluded.size() < MaximumAttemptsAtTargets;
    if (isPossible && m_retries.tryRetry()) {
        ++exchange.attempt;
        m_context.record(RequestsEvent::TriedAgain, exchange, "");
        reserve(exchange, now, out);
        return;
    }
    if (isPossible)
        m_context.record(RequestsEvent::RetryBudgetSpent, exchange, "");
    m_run.report(exchange, KeyEnd::NotRun, now, out);
    exchange.mayBeGranted = false;
    const RefusalReason reason = isPossible || now < exchange.deadline
        ? RefusalReason::TargetRefused
        : RefusalReason::PatienceOver;
    giveUp(exchange, {reason, Outcome::NotRun, RunningRetryAfter}, now, out);
}

// ---- Requests that were granted before, and GET /v1/requests/KEY.

void RequestFlow::await(RequestLife &exchange, Instant now, Outbox &out)
{
    exchange.step = ExchangeStep::AwaitingAnswer;
    exchange.sends = 0;
    if (!m_inquiry.ask(exchange, now, out))
        finish(exchange, Refusal {RefusalReason::OutcomeLost, Outcome::Unknown, {}}, now);
}

void RequestFlow::handle(const KeyLookup &lookup, Instant now, Outbox &out)
{
    const Customer *customer = m_index ? m_index->customerOfToken(lookup.tokenHash) : nullptr;
    if (customer == nullptr) {
        lookup.answer->refuse({RefusalReason::Unauthorized, Outcome::NotRun, {}});
        return;
    }
    RequestLife &exchange = m_exchanges[lookup.exchange];
    exchange.request.exchange = lookup.exchange;
    exchange.request.answer = lookup.answer;
    exchange.configuration = m_index->configuration();
    exchange.customer = customer->id;
    exchange.key = keyOfCustomer(lookup.key, customer->id);
    exchange.step = ExchangeStep::Lookup;
    exchange.arrived = now;
    exchange.deadline = now + LookupPatience;
    lookup.answer->setKey(lookup.key);
    if (m_inquiry.giveKept(exchange, now))
        erase(exchange);
    else if (!m_inquiry.ask(exchange, now, out))
        answerLookup(exchange, {InquiryStep::Progress::Unknown, {}}, now, out);
}

void RequestFlow::handle(const MemberId &from, const KeyQueryReply &reply, Instant now, Outbox &out)
{
    RequestLife *exchange = find(ExchangeId(reply.sequence));
    if (exchange == nullptr)
        return;
    const InquiryStep::Advance advance = m_inquiry.replied(*exchange, from, reply);
    const bool isSettled = advance.progress != InquiryStep::Progress::Waiting;
    const bool hasRun = isSettled && advance.progress != InquiryStep::Progress::NotRun;
    switch (exchange->step) {
    case ExchangeStep::Reserving:
        if (!hasRun)
            return;
        m_reserve.cancel(*exchange, out);
        exchange->step = ExchangeStep::AwaitingAnswer;
        answerAwaited(*exchange, advance, now, out);
        return;
    case ExchangeStep::AwaitingAnswer:
        if (isSettled)
            answerAwaited(*exchange, advance, now, out);
        return;
    case ExchangeStep::Confirming:
        if (hasRun)
            exchange->pendingRefusal->outcome = Outcome::Unknown;
        if (advance.progress == InquiryStep::Progress::Answered)
            answerAwaited(*exchange, advance, now, out);
        else if (advance.progress == InquiryStep::Progress::Conflict)
            answerAwaited(*exchange, advance, now, out);
        else if (isSettled)
            finish(*exchange, exchange->pendingRefusal, now);
        return;
    case ExchangeStep::Lookup:
        if (isSettled)
            answerLookup(*exchange, advance, now, out);
        return;
    default:
        return;
    }
}

void RequestFlow::answerAwaited(RequestLife &exchange, const InquiryStep::Advance &advance,
                                Instant now, Outbox &out)
{
    switch (advance.progress) {
    case InquiryStep::Progress::Waiting:
        return;
    case InquiryStep::Progress::NotRun:
        ++exchange.attempt;
        reserve(exchange, now, out);
        return;
    case InquiryStep::Progress::Running:
        m_context.due.set(exchange.request.exchange, std::min(now + AwaitPoll, exchange.deadline));
        return;
    case InquiryStep::Progress::Unknown:
        takeOver(exchange, advance.target, now, out);
        return;
    case InquiryStep::Progress::Conflict:
        finish(exchange, Refusal {RefusalReason::KeyConflict, Outcome::NotRun, {}}, now);
        return;
    case InquiryStep::Progress::Answered:
        break;
    }
    if (m_inquiry.giveKept(exchange, now)) {
        m_context.record(RequestsEvent::AnswerFound, exchange, "holder=self");
        finish(exchange, {}, now);
    } else if (!m_inquiry.fetch(exchange, now)) {
        finish(exchange, Refusal {RefusalReason::AnswerGone, Outcome::Unknown, {}}, now);
    }
}

void RequestFlow::answerLookup(RequestLife &exchange, const InquiryStep::Advance &advance, Instant now,
                               Outbox &)
{
    const bool isAnswered = advance.progress == InquiryStep::Progress::Answered;
    if (isAnswered && m_inquiry.giveKept(exchange, now)) {
        erase(exchange);
        return;
    }
    if (isAnswered && m_inquiry.fetch(exchange, now))
        return;
    writeStateDocument(callerKeyOf(exchange.key), advance.progress, *exchange.request.answer);
    erase(exchange);
}

void RequestFlow::handle(const KeptAnswerArrived &arrived, Instant now, Outbox &)
{
    RequestLife *exchange = find(arrived.exchange);
    if (exchange == nullptr)
        return;
    const bool isLookup = exchange->step == ExchangeStep::Lookup;
    if (!isLookup && exchange->step != ExchangeStep::AwaitingAnswer
        && exchange->step != ExchangeStep::Confirming)
        return;
    if (arrived.answer == nullptr) {
        finish(*exchange, Refusal {RefusalReason::AnswerGone, Outcome::Unknown, {}}, now);
        return;
    }
    replay(*arrived.answer, *exchange->request.answer);
    m_context.record(RequestsEvent::AnswerFound, *exchange,
                     "holder=" + exchange->holder.member.text());
    if (isLookup)
        erase(*exchange);
    else
        finish(*exchange, {}, now);
}

void RequestFlow::takeOver(RequestLife &exchange, const TargetId &targetId, Instant now, Outbox &)
{
    const Target *target = m_index->target(targetId);
    const bool canResume = target != nullptr && exchange.serviceKind == ServiceKind::Engine;
    exchange.isTakenOver = true;
    if (canResume && m_run.takeOver(exchange, *target, now))
        m_dispatches[exchange.dispatch] = exchange.request.exchange;
    else
        finish(exchange, Refusal {RefusalReason::OutcomeLost, Outcome::Unknown, {}}, now);
}

// ---- Time.

void RequestFlow::handle(const MemberId &from, const OutcomeAcknowledged &message)
{
    m_context.outcomes.acknowledged(from, message);
}

void RequestFlow::membersChanged(Instant now, Outbox &out)
{
    for (auto &[id, exchange] : m_exchanges) {
        if (exchange.step == ExchangeStep::Reserving)
            m_reserve.membersChanged(exchange, now, out);
    }
    m_inFlight.membersChanged(m_exchanges, now, out);
}

void RequestFlow::tick(Instant now, Outbox &out)
{
    while (const std::optional<ExchangeId> id = m_context.due.popDue(now)) {
        if (RequestLife *exchange = find(*id))
            due(*exchange, now, out);
    }
    m_context.outcomes.tick(now, out);
    m_inFlight.tick(m_exchanges, now, out);
}

std::optional<Instant> RequestFlow::nextDue() const
{
    std::optional<Instant> next = m_inFlight.nextDue();
    for (const std::optional<Instant> &due : {m_context.due.next(), m_context.outcomes.nextDue()}) {
        if (due && (!next || *due < *next))
            next = due;
    }
    return next;
}

void RequestFlow::due(RequestLife &exchange, Instant now, Outbox &out)
{
    if (now >= exchange.deadline && exchange.step != ExchangeStep::Running) {
        patienceOver(exchange, now, out);
        return;
    }
    switch (exchange.step) {
    case ExchangeStep::Reserving:
        advance(exchange, m_reserve.due(exchange, now, out), now, out);
        return;
    case ExchangeStep::Granting:
        if (now >= exchange.reservedUntil) {
            m_grant.withdraw(exchange, now, out);
            m_reserve.cancel(exchange, out);
            ++exchange.attempt;
            reserve(exchange, now, out);
            return;
        }
        m_grant.due(exchange, now, out);
        return;
    case ExchangeStep::Running:
        // The adapter keeps the deadline itself; this covers a lost order and an absent caller.
        m_run.cancel(exchange);
        m_context.due.set(exchange.request.exchange, now + CancelRepeat);
        return;
    default:
        if (!m_inquiry.ask(exchange, now, out))
            finish(exchange, Refusal {RefusalReason::OutcomeLost, Outcome::Unknown, {}}, now);
    }
}

void RequestFlow::patienceOver(RequestLife &exchange, Instant now, Outbox &out)
{
    switch (exchange.step) {
    case ExchangeStep::Reserving:
        m_reserve.cancel(exchange, out);
        giveUp(exchange, {RefusalReason::PatienceOver, Outcome::NotRun, {}}, now, out);
        return;
    case ExchangeStep::Granting:
        m_grant.withdraw(exchange, now, out);
        m_reserve.cancel(exchange, out);
        exchange.reservation.reset();
        giveUp(exchange, {RefusalReason::HomeUnreachable, Outcome::NotRun, RunningRetryAfter}, now,
               out);
        return;
    case ExchangeStep::AwaitingAnswer:
        finish(exchange,
               Refusal {RefusalReason::AlreadyRunning, Outcome::Unknown, RunningRetryAfter}, now);
        return;
    case ExchangeStep::Confirming:
        // A home that doesn't answer may have granted the key to another entry.
        exchange.pendingRefusal->outcome = Outcome::Unknown;
        finish(exchange, exchange.pendingRefusal, now);
        return;
    default:
        finish(exchange, Refusal {RefusalReason::HomeUnreachable, Outcome::Unknown, {}}, now);
    }
}

// ---- Ends.

void RequestFlow::giveUp(RequestLife &exchange, const Refusal &refusal, Instant now, Outbox &out)
{
    // Whoever sends a key again and reads "not run" will use a new key. The words must be true of
    // the key, not just of this attempt, or the caller's next step runs the request twice.
    const bool mustAsk = refusal.outcome == Outcome::NotRun && exchange.isKeyGiven
        && !needsNoInquiry(refusal.reason);
    if (!mustAsk) {
        finish(exchange, refusal, now);
        return;
    }
    exchange.step = ExchangeStep::Confirming;
    exchange.sends = 0;
    exchange.pendingRefusal = refusal;
    exchange.deadline = now + ConfirmPatience;
    if (!m_inquiry.ask(exchange, now, out)) {
        exchange.pendingRefusal->outcome = Outcome::Unknown;
        finish(exchange, exchange.pendingRefusal, now);
    }
}

void RequestFlow::finish(RequestLife &exchange, std::optional<Refusal> refusal, Instant now)
{
    if (refusal) {
        m_context.record(RequestsEvent::Refused, exchange, reasonText(*refusal));
        exchange.request.answer->refuse(*refusal);
    }
    if (exchange.step != ExchangeStep::Lookup)
        m_context.ports.observer.ended(summaryOf(exchange, refusal, now));
    erase(exchange);
}

void RequestFlow::erase(const RequestLife &exchange)
{
    const ExchangeId id = exchange.request.exchange;
    m_context.due.remove(id);
    m_exchanges.erase(id);
}

RequestLife *RequestFlow::find(ExchangeId id)
{
    const auto found = m_exchanges.find(id);
    return found == m_exchanges.end() ? nullptr : &found->second;
}

} // namespace Apricothook
