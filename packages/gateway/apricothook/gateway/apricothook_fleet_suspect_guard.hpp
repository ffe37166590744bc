#pragma once

#include <apricothook/dispatch/apricothook_suspect_announcer.hpp>
#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/gateway/apricothook_suspect_guard.hpp>
#include <apricothook/observe/apricothook_structured_log.hpp>

#include <functional>

namespace Apricothook {

/** Shares what daemons know of suspect requests with the fleet, and logs each change. */
class FleetSuspectGuard : public SuspectGuard, private SuspectListener
{
public:
    /** `budgetChanged` is called when the budget of a request's trials may have changed. */
    FleetSuspectGuard(EventLoop &loop, LimitPeer self, const GrantorRanking &ranking,
                      LimitMessenger &messenger, RandomSource &random, LogWriter &log,
                      std::function<void(std::uint64_t request)> budgetChanged);

    TrialDecision decide(Fingerprint request) override;
    std::uint64_t startTrial(Fingerprint request) override;
    void withdrawTrial(Fingerprint request, std::uint64_t trial) override;
    void recordAnswer(Fingerprint request, Instant sent) override;
    void recordCrash(const TargetInstance &target, const std::vector<Fingerprint> &requests,
                     Instant crashed) override;

    /** Applies what another daemon knows, or answers its query. */
    template <typename Message>
    void take(const Message &message)
    {
        m_announcer.take(message, m_loop.now());
    }
    /** Tells the daemon what is known of the request with this limit, if it is one. */
    void inform(const Endpoint &daemon, std::uint64_t limit)
    {
        m_announcer.inform(daemon, limit, m_loop.now());
    }
    /** Other daemons may know suspects; until they tell, all requests are held. */
    void joinFleet() { m_announcer.joinFleet(m_loop.now()); }
    bool isInformed() const { return m_announcer.isInformed(); }
    /** To be called several times a second. */
    void review(const std::vector<LiveDaemon> &live, bool knowsFleet)
    {
        m_announcer.review(live, knowsFleet, m_loop.now());
    }
    std::optional<UnitBudget> budget(std::uint64_t request) const
    {
        return m_announcer.requests().budget(request, m_loop.now());
    }
    UnitBudgets budgets() const { return m_announcer.requests().budgets(m_loop.now()); }

private:
    void onSuspectChanged(std::uint64_t request, const TrialDecision &decision,
                          bool isOwn) override;

    EventLoop &m_loop;
    LogWriter &m_log;
    const std::function<void(std::uint64_t request)> m_budgetChanged;
    SuspectAnnouncer m_announcer;
};

} // namespace Apricothook
