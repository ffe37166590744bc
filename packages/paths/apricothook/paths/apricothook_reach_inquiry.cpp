#include <apricothook/paths/apricothook_reach_inquiry.hpp>

#include <utility>

namespace Apricothook {

ReachInquiry::ReachInquiry(EventLoop &loop, ReachInquirySetup setup, ReachInquiryListener &listener)
    : m_loop(loop), m_setup(std::move(setup)), m_listener(listener), m_started(loop.now())
{
    m_evidence.isAlone = m_setup.isAlone;
    m_probe = std::make_unique<ConnectionProbe>(m_loop, m_setup.target.address, m_setup.probe,
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
    // Further waiting would tell no more.
    if (!m_isConcluded)
        endProbeAfter(Duration::zero());
}

void ReachInquiry::onProbeTime()
{
    m_evidence.own = m_probe->result();
    const bool mustAsk = m_evidence.own != ProbeResult::Answered && !m_setup.panel.empty();
    if (mustAsk && !m_hasAskedOthers) {
        askOthers();
        return;
    }
    if (mustAsk && m_pending > 0 && !m_reachedBy)
        return;
    conclude();
    finish();
}

void ReachInquiry::askOthers()
{
    m_hasAskedOthers = true;
    m_pending = m_setup.panel.size();
    const RelayRequest request {
        RelayService::Test, m_setup.target.instance(), m_setup.target.address, {}};
    for (const Endpoint &relay : m_setup.panel) {
        m_queries.push_back(std::make_unique<RelayQuery>(
            m_loop, relay, request, m_setup.probe.from,
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
        onEnoughKnown();
    finish();
}

void ReachInquiry::onEnoughKnown()
{
    if (m_isConcluded || m_timer != 0)
        return;
    m_evidence.own = m_probe->result();
    if (m_reachedBy && m_evidence.own == ProbeResult::Silent)
        endProbeAfter(OwnAnswerTime);
    else
        conclude();
}

void ReachInquiry::finish()
{
    if (m_isConcluded && m_pending == 0 && !std::exchange(m_isFinished, true))
        m_listener.onInquiryFinished(m_setup.target.instance());
}

void ReachInquiry::conclude()
{
    if (std::exchange(m_isConcluded, true))
        return;
    m_loop.cancel(m_timer);
    m_timer = 0;
    m_listener.onReachConcluded(m_setup.target,
                                {.verdict = verdictOf(m_evidence),
                                 .evidence = m_evidence,
                                 .reachedBy = m_reachedBy,
                                 .took = m_loop.now() - m_started});
}

} // namespace Apricothook
