#pragma once

#include <apricothook/dispatch/apricothook_request_permits.hpp>
#include <apricothook/dispatch/apricothook_service_losses.hpp>
#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/gateway/apricothook_suspect_guard.hpp>
#include <apricothook/observe/apricothook_structured_log.hpp>

#include <functional>

namespace Apricothook {

/** Called by a FleetSuspectGuard. */
struct SuspectGuardCalls
{
    /** The budget of a trait's trials may have changed. */
    std::function<void(std::uint64_t trait)> budgetChanged;
    std::function<void(ExchangeId exchange, const PermitDecision &decision)> permitDecided;
};

/** Shares what daemons know of suspect traits with the fleet, and logs each change. */
class FleetSuspectGuard : public SuspectGuard, private SuspectListener, private PermitListener
{
public:
    FleetSuspectGuard(EventLoop &loop, const LimitPeer &self, const GrantorRanking &ranking,
                      LimitMessenger &messenger, RandomSource &random, LogWriter &log,
                      SuspectGuardCalls calls);
    ~FleetSuspectGuard() override;
    FleetSuspectGuard(const FleetSuspectGuard &) = delete;
    FleetSuspectGuard &operator=(const FleetSuspectGuard &) = delete;

    TrialDecision decide(const RequestTraits &request) override;
    std::uint64_t startTrial(std::uint64_t trait) override;
    void withdrawTrial(std::uint64_t trait, std::uint64_t trial) override;
    void recordAnswer(const RequestTraits &request, const AnswerTimes &answer) override;
    void recordProgress(const RequestTraits &request, const AnswerTimes &answer) override;
    void recordCrash(const TargetInstance &target, const std::vector<RequestTraits> &requests,
                     Instant crashed) override;
    void recordSurvived(const TargetInstance &target, const RequestTraits &request) override;
    void recordDrop(const ServiceId &service) override;
    bool needsPermit(const RequestTraits &request, const ServiceId &service) const override;
    std::optional<PermitDecision> acquirePermit(ExchangeId exchange, const RequestTraits &request,
                                                const ServiceId &service,
                                                Duration lifetime) override;
    void cancelPermit(ExchangeId exchange) override { m_permits.cancel(exchange, m_loop.now()); }
    void reportPermit(std::uint64_t permit, PermitUse use, const TargetInstance &target) override;

    /** A target of the service crashed, left without being drained, or started. */
    void recordLoss(const ServiceId &service) { m_losses.recordLoss(service, m_loop.now()); }
    /** Applies what another daemon knows, or answers its query. */
    template <typename Message>
    void take(const Message &message)
    {
        m_announcer.take(message, m_loop.now());
    }
    void take(const PermitRequest &request) { m_permits.permits().take(request, m_loop.now()); }
    void take(const PermitReply &reply) { m_permits.permits().take(reply, m_loop.now()); }
    void take(const PermitReport &report) { m_permits.permits().take(report, m_loop.now()); }
    /** Tells the daemon what is known of the trait with this limit, if it is one. */
    void inform(const Endpoint &daemon, std::uint64_t limit)
    {
        m_announcer.inform(daemon, limit, m_loop.now());
    }
    /**
     * Other daemons may know suspects; until they tell, all requests are held. `isFirstStart`: the
     * whole fleet starts for the first time.
     */
    void joinFleet(bool isFirstStart) { m_announcer.joinFleet(m_loop.now(), isFirstStart); }
    bool isInformed() const { return m_announcer.isInformed(); }
    /**
     * To be called several times a second. `knowsFleet`: this daemon has heard from the others;
     * `reachesFleet`: it hears nearly all of them.
     */
    void review(const std::vector<LiveDaemon> &live, bool knowsFleet, bool reachesFleet);
    std::optional<UnitBudget> budget(std::uint64_t trait) const
    {
        return m_announcer.traits().budget(trait, m_loop.now());
    }
    UnitBudgets budgets() const { return m_announcer.traits().budgets(m_loop.now()); }

private:
    void onSuspectChanged(std::uint64_t trait, const TrialDecision &decision, bool isOwn) override;
    void onPermitDecided(ExchangeId exchange, const PermitDecision &decision) override;
    void onPermitExpired(const ExpiredPermit &permit) override;
    void scheduleQueries();

    EventLoop &m_loop;
    LogWriter &m_log;
    const SuspectGuardCalls m_calls;
    SuspectAnnouncer m_announcer;
    RequestPermits m_permits;
    ServiceLosses m_losses;
    TimerId m_queryTimer = 0;
};

} // namespace Apricothook
