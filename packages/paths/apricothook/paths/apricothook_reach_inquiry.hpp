#pragma once

#include <apricothook/paths/apricothook_connection_probe.hpp>
#include <apricothook/paths/apricothook_relay_query.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace Apricothook {

/** What an inquiry found. */
struct ReachConclusion
{
    ReachVerdict verdict = ReachVerdict::Unknown;
    ReachEvidence evidence;
    /** A daemon that reaches the target; set if the verdict is Elsewhere. */
    std::optional<Endpoint> reachedBy;
    Duration took {};
};

/** How an inquiry is made. */
struct ReachInquirySetup
{
    TargetEntry target;
    /** The address of this VM to connect from. */
    std::string from;
    /** Daemons to ask if this one doesn't reach the target. */
    std::vector<Endpoint> panel;
    /** No other daemon exists. */
    bool isAlone = false;
};

/** Receives the results of an inquiry about a target. */
class ReachInquiryListener
{
public:
    virtual ~ReachInquiryListener() = default;
    /** A daemon that was asked has answered, or failed to. */
    virtual void onRelayAnswered(const TargetEntry &target, const Endpoint &relay,
                                 RelayOutcome outcome)
        = 0;
    /** Called once, possibly before all daemons have answered. */
    virtual void onReachConcluded(const TargetEntry &target, const ReachConclusion &conclusion) = 0;
    /** The inquiry can be destroyed after the current event. */
    virtual void onInquiryFinished(const TargetInstance &target) = 0;
};

/**
 * Tests a target once, from this daemon and, if it isn't reached, from others.
 *
 * All daemons of the panel are asked: several may be cut off from the same targets, and one that
 * reaches the target refutes them all.
 */
class ReachInquiry
{
public:
    ReachInquiry(EventLoop &loop, ReachInquirySetup setup, ReachInquiryListener &listener);
    ~ReachInquiry();
    ReachInquiry(const ReachInquiry &) = delete;
    ReachInquiry &operator=(const ReachInquiry &) = delete;

private:
    void endProbeAfter(Duration time);
    void onProbeChanged();
    void onProbeTime();
    void askOthers();
    void onAnswer(const Endpoint &relay, RelayOutcome outcome);
    void conclude();

    EventLoop &m_loop;
    const ReachInquirySetup m_setup;
    ReachInquiryListener &m_listener;
    const Instant m_started;
    ReachEvidence m_evidence;
    std::optional<Endpoint> m_reachedBy;
    bool m_isConcluded = false;
    std::size_t m_pending = 0;
    TimerId m_timer = 0;
    std::unique_ptr<ConnectionProbe> m_probe;
    std::vector<std::unique_ptr<RelayQuery>> m_queries;
};

} // namespace Apricothook
