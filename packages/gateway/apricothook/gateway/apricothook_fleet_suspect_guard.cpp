#include <apricothook/gateway/apricothook_fleet_suspect_guard.hpp>

#include <apricothook/dispatch/apricothook_target_table.hpp>
#include <apricothook/gateway/apricothook_gateway_event.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace Apricothook {

namespace {

/** A target that goes on with an answer for so long after its first event lives through it. */
constexpr std::chrono::seconds ProofTime {1};
/** The same for what targets have lived through before. */
constexpr std::chrono::milliseconds ProofTimeOfProven {200};

} // namespace

FleetSuspectGuard::FleetSuspectGuard(EventLoop &loop, const LimitPeer &self,
                                     const GrantorRanking &ranking, LimitMessenger &messenger,
                                     RandomSource &random, LogWriter &log, SuspectGuardCalls calls)
    : m_loop(loop)
    , m_log(log)
    , m_calls(std::move(calls))
    , m_announcer(self, ranking, messenger, random, *this)
    , m_permits(self, messenger, random, *this, m_announcer)
    , m_losses(loop.now())
{
}

FleetSuspectGuard::~FleetSuspectGuard()
{
    m_loop.cancel(m_queryTimer);
}

TrialDecision FleetSuspectGuard::decide(const RequestTraits &request)
{
    return m_announcer.decide(request, m_loop.now());
}

std::uint64_t FleetSuspectGuard::startTrial(std::uint64_t trait)
{
    return m_announcer.startTrial(trait, m_loop.now());
}

void FleetSuspectGuard::withdrawTrial(std::uint64_t trait, std::uint64_t trial)
{
    m_announcer.withdrawTrial(trait, trial, m_loop.now());
}

void FleetSuspectGuard::recordAnswer(const RequestTraits &request, const AnswerTimes &answer)
{
    const Instant now = m_loop.now();
    m_announcer.recordAnswer(request.content, answer.sent, now);
    for (const std::uint64_t part : request.parts)
        m_announcer.recordAnswer(part, answer.began, now);
}

void FleetSuspectGuard::recordProgress(const RequestTraits &request, const AnswerTimes &answer)
{
    const Instant now = m_loop.now();
    for (const std::uint64_t part : request.parts) {
        const std::optional<Instant> proven = m_announcer.traits().sound().lastBegan(part);
        const bool isNew = !proven || *proven < answer.began;
        if (isNew && now - answer.began >= (proven ? ProofTimeOfProven : ProofTime))
            m_announcer.recordAnswer(part, answer.began, now);
    }
}

void FleetSuspectGuard::recordCrash(const TargetInstance &target,
                                    const std::vector<RequestTraits> &requests, Instant crashed)
{
    const Instant now = m_loop.now();
    std::map<std::uint64_t, std::uint64_t> originsOfParts;
    for (const RequestTraits &request : requests) {
        m_announcer.recordCrash(request.content, targetHash(target), crashed, now);
        m_permits.permits().conclude(request.content, targetHash(target), true, crashed, now);
        for (const std::uint64_t part : request.parts) {
            const auto [known, isFirst] = originsOfParts.emplace(part, request.customer);
            if (!isFirst && known->second != request.customer)
                known->second = SuspectTraits::SeveralCustomers;
        }
    }
    for (const auto &[part, origin] : originsOfParts)
        m_announcer.recordCrash(part, targetHash(target), crashed, now, origin);
}

void FleetSuspectGuard::recordSurvived(const TargetInstance &target, const RequestTraits &request)
{
    const Instant now = m_loop.now();
    m_permits.permits().conclude(request.content, targetHash(target), false, now, now);
}

void FleetSuspectGuard::recordDrop(const ServiceId &service)
{
    m_losses.recordDrop(service, m_loop.now());
}

bool FleetSuspectGuard::needsPermit(const RequestTraits &request, const ServiceId &service) const
{
    return !m_permits.needs(request, service, m_losses, m_loop.now()).isEmpty();
}

std::optional<PermitDecision> FleetSuspectGuard::acquirePermit(ExchangeId exchange,
                                                               const RequestTraits &request,
                                                               const ServiceId &service,
                                                               Duration lifetime)
{
    const Instant now = m_loop.now();
    const PermitNeeds needs = m_permits.needs(request, service, m_losses, now);
    const std::optional<PermitDecision> decision
        = m_permits.acquire(exchange, needs, lifetime, now);
    scheduleQueries();
    return decision;
}

void FleetSuspectGuard::reportPermit(std::uint64_t permit, PermitUse use,
                                     const TargetInstance &target)
{
    m_permits.permits().report(permit, use, targetHash(target), m_loop.now());
}

void FleetSuspectGuard::review(const std::vector<LiveDaemon> &live, bool knowsFleet,
                               bool reachesFleet)
{
    m_announcer.review(live, knowsFleet, m_loop.now());
    m_permits.permits().review(live, reachesFleet, m_loop.now());
}

void FleetSuspectGuard::scheduleQueries()
{
    m_loop.cancel(m_queryTimer);
    m_queryTimer = 0;
    const std::optional<Instant> next = m_permits.permits().nextReview();
    if (!next)
        return;
    const Duration wait = std::max<Duration>(*next - m_loop.now(), Duration::zero());
    m_queryTimer = m_loop.after(wait, [this] {
        m_queryTimer = 0;
        m_permits.permits().reviewQueries(m_loop.now());
        scheduleQueries();
    });
}

void FleetSuspectGuard::onPermitDecided(ExchangeId exchange, const PermitDecision &decision)
{
    m_calls.permitDecided(exchange, decision);
}

void FleetSuspectGuard::onPermitExpired(const ExpiredPermit &permit)
{
    m_log.write(LogEvent(GatewayEvent::PermitExpired)
                    .with("suspect", std::to_string(permit.request))
                    .with("age_ms", m_loop.now() - permit.granted));
}

void FleetSuspectGuard::onSuspectChanged(std::uint64_t trait, const TrialDecision &decision,
                                         bool isOwn)
{
    LogEvent line(GatewayEvent::SuspectChanged);
    // Thousands of requests have a first crash at once if a data centre fails.
    if (decision.verdict == TrialVerdict::Clear)
        line.markRoutine();
    m_log.write(line.with("suspect", std::to_string(trait))
                    .with("kind", std::string(nameOf(traitKind(trait))))
                    .with("verdict", std::string(nameOf(decision.verdict)))
                    .with("crashes", decision.crashes)
                    .with("trials", decision.trials)
                    .with("age_ms", decision.age)
                    .with("next_trial_ms", decision.retryAfter)
                    .with("from", std::string(isOwn ? "self" : "daemon")));
    if (decision.crashes > 0)
        m_permits.permits().recordCrash(trait);
    m_calls.budgetChanged(trait);
}

} // namespace Apricothook
