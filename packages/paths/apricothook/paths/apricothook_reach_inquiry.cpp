#include <apricothook/paths/apricothook_reach_inquiry.hpp>

#include <utility>

namespace Apricothook {

ReachInquiry::ReachInquiry(EventLoop &loop, ReachInquirySetup setup, ReachInquiryListener &listener)
    : m_loop(loop), m_setup(std::move(setup)), m_listener(listener), m_started(loop.now())
{
    m_evidence.isAlone = m_setup.isAlone;
    m_probe = std::make_unique<ConnectionProbe>(m_loop, m_setup.target.address, m_setup.from,
                                                [this] { onProbeChanged(); });
    endProbeAfter(ConnectionProbe::ProbeTime);
}

ReachInquiry::~ReachInquiry()
{
    m_loop.cancel(m_timer);
}

void ReachInquiry::endProbeAfter(Duration time)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.after(time, [this] {
        m_timer = 0;
        onProbeTime();
    });
}

void ReachInquiry::onProbeChanged()
{
    // A target that refuses at once is down; waiting would tell no more.
    if (m_probe && m_probe->hasEnded())
        endProbeAfter(Duration::zero());
}

void ReachInquiry::onProbeTime()
{
    m_evidence.own = m_probe->result();
    m_probe.reset();
    if (m_evidence.own != ProbeResult::Kept && !m_setup.panel.empty()) {
        askOthers();
        return;
    }
    conclude();
    m_listener.onInquiryFinished(m_setup.target.instance());
}

void ReachInquiry::askOthers()
{
    m_pending = m_setup.panel.size();
    const RelayRequest request {
        RelayService::Test, m_setup.target.instance(), m_setup.target.address, {}};
    for (const Endpoint &relay : m_setup.panel) {
        m_queries.push_back(std::make_unique<RelayQuery>(
            m_loop, relay, request, m_setup.from,
            [this, relay](RelayOutcome outcome) { onAnswer(relay, outcome); }));
    }
}

void ReachInquiry::onAnswer(const Endpoint &relay, RelayOutcome outcome)
{
    m_evidence.add(outcome);
    if (outcome == RelayOutcome::Reached && !m_reachedBy)
        m_reachedBy = relay;
    --m_pending;
    m_listener.onRelayAnswered(m_setup.target, relay, outcome);
    // Further answers only tell which other daemons reach the target.
    if (m_pending == 0 || m_reachedBy)
        conclude();
    if (m_pending == 0)
        m_listener.onInquiryFinished(m_setup.target.instance());
}

void ReachInquiry::conclude()
{
    if (std::exchange(m_isConcluded, true))
        return;
    m_listener.onReachConcluded(m_setup.target,
                                {.verdict = verdictOf(m_evidence),
                                 .evidence = m_evidence,
                                 .reachedBy = m_reachedBy,
                                 .took = m_loop.now() - m_started});
}

} // namespace Apricothook
