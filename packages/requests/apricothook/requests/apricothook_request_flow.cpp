#include <apricothook/requests/apricothook_request_flow.hpp>

#include <apricothook/requests/apricothook_customer_key.hpp>
#include <apricothook/requests/apricothook_request_admission.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr std::uint32_t MaximumAttemptsAtTargets = 3;
constexpr Duration RunningRetryAfter = std::chrono::seconds(1);
// A caller who gave a key may come back for the answer after a broken connection; work for a caller
// who can't is cancelled at once.
constexpr Duration AbandonedGrace = std::chrono::seconds(2);
constexpr Duration CancelRepeat = std::chrono::seconds(2);

} // namespace

RequestFlow::RequestFlow(const FlowPorts &ports)
    : m_context {ports, {}, {}, {}}
    , m_reserve(m_context)
    , m_grant(m_context)
    , m_run(m_context)
    , m_book(m_context)
    , m_earlier(m_context, m_book, m_reserve, m_run)
    , m_inFlight(m_context)
{
}

void RequestFlow::applyConfiguration(std::shared_ptr<const Configuration> configuration)
{
    m_context.index = std::make_unique<ConfigurationIndex>(std::move(configuration));
}

void RequestFlow::setLeavingVms(const std::vector<VmId> &vms)
{
    m_leavingVms = {vms.begin(), vms.end()};
}

// ---- Arrival.

void RequestFlow::handle(CallerRequest request, Instant now, Outbox &out)
{
    const std::shared_ptr<AnswerStream> answer = request.answer;
    if (m_isClosed) {
        answer->refuse({RefusalReason::Draining, outcomeUnasked(request), Duration::zero()});
        return;
    }
    const ExchangeId id = request.exchange;
    Result<RequestLife, Refusal> admitted
        = admitRequest(std::move(request), m_context.index.get(), now);
    if (!admitted) {
        answer->refuse(admitted.error());
        return;
    }
    RequestLife &exchange = m_book.open(id) = std::move(admitted.value());
    if (!exchange.isKeyGiven)
        exchange.key = m_context.ports.homes.mint();
    answer->setKey(callerKeyOf(exchange.key));
    m_context.record(RequestsEvent::Accepted, exchange,
                     "service=" + exchange.request.service.text() + " customer="
                         + exchange.customer.text() + " class=" + exchange.requestClass.id.text()
                         + " tier=" + std::to_string(exchange.requestClass.tier.rank()));
    start(exchange, now, out);
}

void RequestFlow::start(RequestLife &exchange, Instant now, Outbox &out)
{
    AdmissionGate &gate = m_context.ports.gate;
    if (gate.isQuarantined(exchange.request.profile.fingerprint, now)) {
        m_earlier.refuse(exchange, {RefusalReason::Quarantined, Outcome::NotRun, {}}, now, out);
        return;
    }
    if (const std::optional<Refusal> refusal = gate.admit(exchange.customer, now)) {
        m_earlier.refuse(exchange, *refusal, now, out);
        return;
    }
    m_retries.firstAttempt();
    // A request that is sent again finds its answer without waiting for room.
    if (exchange.isKeyGiven && !m_earlier.ask(exchange, now, out)) {
        withoutHome(exchange, now, out);
        return;
    }
    reserve(exchange, now, out);
}

void RequestFlow::withoutHome(RequestLife &exchange, Instant now, Outbox &out)
{
    const GrantStep::Advance advance = m_grant.begin(exchange, now, out);
    if (advance.refusal && advance.refusal->reason == RefusalReason::HomeLostMemory)
        m_earlier.forgotten(exchange, now, out);
    else
        m_book.finish(exchange, advance.refusal, now);
}

void RequestFlow::handle(const CallerGone &gone, Instant now, Outbox &out)
{
    RequestLife *exchange = m_book.find(gone.exchange);
    if (exchange == nullptr)
        return;
    exchange->isAbandoned = true;
    m_context.record(RequestsEvent::CallerLeft, *exchange, "");
    switch (exchange->step) {
    case ExchangeStep::Granting:
    case ExchangeStep::Reserving:
        m_grant.withdraw(*exchange, now, out);
        m_reserve.cancel(*exchange, out);
        m_book.finish(*exchange, {}, now);
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
        m_book.finish(*exchange, {}, now);
    }
}

// ---- Room.

void RequestFlow::reserve(RequestLife &exchange, Instant now, Outbox &out)
{
    const std::vector<TargetId> crashed
        = m_context.ports.gate.excludedFor(exchange.request.profile.fingerprint, now);
    for (const TargetId &target : crashed) {
        if (std::ranges::find(exchange.excluded, target) == exchange.excluded.end())
            exchange.excluded.push_back(target);
    }
    const std::uint32_t tokens
        = m_output.expected(exchange.requestClass, exchange.request.profile.maximumTokens);
    advance(exchange, m_reserve.begin(exchange, tokens, now, out), now, out);
}

void RequestFlow::handle(const MemberId &from, const ReserveReply &reply, Instant now, Outbox &out)
{
    RequestLife *exchange = m_book.find(reply.attempt.exchange);
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
        // The attempt before was proved not to have run, but its home keeps the key for this entry
        // until it hears so: without this the key would be "running" as long as the entry lives.
        m_grant.withdraw(exchange, now, out);
        m_earlier.refuse(exchange, *advance.refusal, now, out);
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
    RequestLife *exchange = m_book.find(reply.attempt.exchange);
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
        m_context.record(RequestsEvent::Granted, exchange,
                         "target=" + exchange.reservation->target.text()
                             + " attempt=" + std::to_string(exchange.attempt));
        dispatch(exchange, now, out);
        return;
    case GrantStep::Progress::RanBefore:
        m_reserve.cancel(exchange, out);
        exchange.reservation.reset();
        m_earlier.await(exchange, now, out);
        return;
    case GrantStep::Progress::Refused:
        m_reserve.cancel(exchange, out);
        exchange.reservation.reset();
        m_earlier.refuse(exchange, *advance.refusal, now, out);
    }
}

// ---- Run.

void RequestFlow::dispatch(RequestLife &exchange, Instant now, Outbox &out)
{
    const Target *target = m_context.index->target(exchange.reservation->target);
    // The steward may not have heard yet that the target is leaving.
    const bool isLeaving = target == nullptr || m_leavingVms.contains(target->vm);
    if (isLeaving || !m_run.dispatch(exchange, *target, now)) {
        DispatchEnded unsent;
        unsent.end = RunEnd::Cancelled;
        unsent.isProvenNotRun = true;
        tryAgain(exchange, unsent, now, out);
        return;
    }
    m_book.bindDispatch(exchange);
    m_run.hint(exchange, now, out);
}

void RequestFlow::handle(const DispatchStarted &started, Instant)
{
    if (RequestLife *exchange = m_book.find(started.dispatch))
        exchange->firstByte = started.firstByte;
}

void RequestFlow::handle(const DispatchEnded &ended, Instant now, Outbox &out)
{
    RequestLife *found = m_book.find(ended.dispatch);
    m_book.unbind(ended.dispatch);
    if (found == nullptr)
        return;
    RequestLife &exchange = *found;
    exchange.ended = ended;
    if (!exchange.isTakenOver) {
        const TargetId &target = exchange.reservation->target;
        m_context.ports.gate.runEnded(exchange.request.profile.fingerprint, target, ended.end, now,
                                      out);
    }
    if (ended.end != RunEnd::Answered) {
        runFailed(exchange, ended, now, out);
        return;
    }
    m_run.release(exchange, ended, out);
    m_run.report(exchange, KeyEnd::Answered, now, out);
    if (ended.outputTokens > 0)
        m_output.learn(exchange.requestClass.id, ended.outputTokens,
                       exchange.request.profile.maximumTokens);
    if (const std::shared_ptr<const KeptAnswer> kept = exchange.request.answer->retained())
        m_context.ports.answers.keep(exchange.key, kept, now);
    m_context.record(RequestsEvent::Answered, exchange,
                     "tokens=" + std::to_string(ended.outputTokens)
                         + " resumes=" + std::to_string(ended.resumes));
    m_book.finish(exchange, {}, now);
}

void RequestFlow::runFailed(RequestLife &exchange, const DispatchEnded &ended, Instant now,
                            Outbox &out)
{
    m_context.record(RequestsEvent::TargetFailed, exchange,
                     "end=" + std::to_string(static_cast<int>(ended.end))
                         + " proven-not-run=" + (ended.isProvenNotRun ? "yes" : "no"));
    if (exchange.isTakenOver) {
        m_book.finish(exchange, Refusal {RefusalReason::OutcomeLost, Outcome::Unknown, {}}, now);
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
    m_book.finish(exchange, Refusal {reason, Outcome::Unknown, {}}, now);
}

void RequestFlow::tryAgain(RequestLife &exchange, const DispatchEnded &ended, Instant now,
                           Outbox &out)
{
    m_run.release(exchange, ended, out);
    if (ended.end == RunEnd::ConnectFailed || ended.end == RunEnd::Refused)
        exchange.excluded.push_back(exchange.reservation->target);
    exchange.reservation.reset();
    // Each failure counts, also one that excludes no target: a request that meets a full ring would
    // else spend the retries of all others in one turn.
    ++exchange.failedAttempts;
    const bool isPossible = now < exchange.deadline && !exchange.isAbandoned
        && exchange.failedAttempts < MaximumAttemptsAtTargets;
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
    m_earlier.refuse(exchange, {reason, Outcome::NotRun, RunningRetryAfter}, now, out);
}

// ---- Keys that may have run before.

void RequestFlow::handle(const KeyLookup &lookup, Instant now, Outbox &out)
{
    m_earlier.lookup(lookup, now, out);
}

void RequestFlow::handle(const MemberId &from, const KeyQueryReply &reply, Instant now, Outbox &out)
{
    const EarlierRun::Next next = m_earlier.replied(from, reply, now, out);
    if (next == EarlierRun::Next::Reserve)
        reserve(*m_book.find(ExchangeId(reply.sequence)), now, out);
}

void RequestFlow::handle(const MemberId &from, const HintReply &reply, Instant now, Outbox &)
{
    m_earlier.replied(from, reply, now);
}

void RequestFlow::handle(const KeptAnswerFetched &arrived, Instant now)
{
    m_earlier.arrived(arrived, now);
}

// ---- Time.

void RequestFlow::handle(const MemberId &from, const OutcomeAcknowledged &message)
{
    m_context.outcomes.acknowledged(from, message);
}

void RequestFlow::membersChanged(Instant now, Outbox &out)
{
    const std::vector<ShardId> shards = m_context.ports.router.shards();
    for (auto &[id, exchange] : m_book.all()) {
        if (exchange.step != ExchangeStep::Reserving)
            continue;
        m_reserve.membersChanged(exchange, now, out);
        m_reserve.shardsChanged(exchange, shards, now);
    }
    m_inFlight.membersChanged(m_book.all(), now, out);
}

void RequestFlow::tick(Instant now, Outbox &out)
{
    while (const std::optional<ExchangeId> id = m_context.due.popDue(now)) {
        if (RequestLife *exchange = m_book.find(*id))
            due(*exchange, now, out);
    }
    m_context.outcomes.tick(now, out);
    m_inFlight.tick(m_book.all(), now, out);
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
        m_earlier.due(exchange, now, out);
    }
}

void RequestFlow::patienceOver(RequestLife &exchange, Instant now, Outbox &out)
{
    switch (exchange.step) {
    case ExchangeStep::Reserving:
        m_grant.withdraw(exchange, now, out);
        m_reserve.cancel(exchange, out);
        m_earlier.refuse(exchange, {RefusalReason::PatienceOver, Outcome::NotRun, {}}, now, out);
        return;
    case ExchangeStep::Granting:
        m_grant.withdraw(exchange, now, out);
        m_reserve.cancel(exchange, out);
        exchange.reservation.reset();
        m_earlier.refuse(exchange,
                         {RefusalReason::HomeUnreachable, Outcome::NotRun, RunningRetryAfter}, now,
                         out);
        return;
    default:
        m_earlier.patienceOver(exchange, now);
    }
}

} // namespace Apricothook
