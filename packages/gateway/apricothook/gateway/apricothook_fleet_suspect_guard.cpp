#include <apricothook/gateway/apricothook_fleet_suspect_guard.hpp>

#include <apricothook/dispatch/apricothook_target_table.hpp>
#include <apricothook/gateway/apricothook_gateway_event.hpp>

#include <utility>

namespace Apricothook {

FleetSuspectGuard::FleetSuspectGuard(EventLoop &loop, LimitPeer self, const GrantorRanking &ranking,
                                     LimitMessenger &messenger, RandomSource &random,
                                     LogWriter &log,
                                     std::function<void(std::uint64_t)> budgetChanged)
    : m_loop(loop)
    , m_log(log)
    , m_budgetChanged(std::move(budgetChanged))
    , m_announcer(std::move(self), ranking, messenger, random, *this)
{
}

TrialDecision FleetSuspectGuard::decide(Fingerprint request)
{
    return m_announcer.decide(suspectHash(request), m_loop.now());
}

std::uint64_t FleetSuspectGuard::startTrial(Fingerprint request)
{
    return m_announcer.startTrial(suspectHash(request), m_loop.now());
}

void FleetSuspectGuard::withdrawTrial(Fingerprint request, std::uint64_t trial)
{
    m_announcer.withdrawTrial(suspectHash(request), trial, m_loop.now());
}

void FleetSuspectGuard::recordAnswer(Fingerprint request, Instant sent)
{
    m_announcer.recordAnswer(suspectHash(request), sent, m_loop.now());
}

void FleetSuspectGuard::recordCrash(const TargetInstance &target,
                                    const std::vector<Fingerprint> &requests, Instant crashed)
{
    for (const Fingerprint request : requests)
        m_announcer.recordCrash(suspectHash(request), targetHash(target), crashed, m_loop.now());
}

void FleetSuspectGuard::onSuspectChanged(std::uint64_t request, const TrialDecision &decision,
                                         bool isOwn)
{
    LogEvent line(GatewayEvent::SuspectChanged);
    // Thousands of requests have a first crash at once if a data centre fails.
    if (decision.verdict == TrialVerdict::Clear)
        line.markRoutine();
    m_log.write(line.with("suspect", std::to_string(request))
                    .with("verdict", std::string(nameOf(decision.verdict)))
                    .with("crashes", decision.crashes)
                    .with("trials", decision.trials)
                    .with("age_ms", decision.age)
                    .with("next_trial_ms", decision.retryAfter)
                    .with("from", std::string(isOwn ? "self" : "daemon")));
    m_budgetChanged(request);
}

} // namespace Apricothook
