#include <apricothook/paths/apricothook_path_monitor.hpp>

#include <apricothook/paths/apricothook_paths_event.hpp>
#include <apricothook/paths/apricothook_relayed_connection.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

/** A connection that can't be opened because there is no way to the target. */
class UnavailableConnection : public StreamConnection
{
public:
    UnavailableConnection(EventLoop &loop, StreamSocketEvents &events)
    {
        // Reported later, as the owner can't handle calls while it constructs the connection.
        loop.defer([&events, alive = std::weak_ptr(m_alive)] {
            const std::shared_ptr<bool> open = alive.lock();
            if (open && std::exchange(*open, false))
                events.onEnd(CloseReason::Failed);
        });
    }

    void send(std::string_view) override { }
    void send(std::shared_ptr<const std::string>) override { }
    void setReading(bool) override { }
    std::size_t unsentBytes() const override { return 0; }
    bool isOpen() const override { return *m_alive; }
    void abort() override { *m_alive = false; }

private:
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

std::string textOf(const std::optional<Endpoint> &endpoint)
{
    return endpoint ? endpoint->text() : std::string();
}

} // namespace

PathMonitor::PathMonitor(EventLoop &loop, ReachListener &listener, const DataCentreId &dataCentre,
                         RandomSource &random, LogWriter &log, std::string from)
    : m_loop(loop)
    , m_listener(listener)
    , m_log(log)
    , m_from(std::move(from))
    , m_relays(dataCentre, random)
{
}

PathMonitor::~PathMonitor() = default;

std::vector<RelayCandidate> PathMonitor::candidates() const
{
    return m_peers ? m_peers->candidates() : std::vector<RelayCandidate>();
}

OpeningConnection PathMonitor::open(const TargetEntry &target, const RequestKey &request,
                                    StreamSocketEvents &events)
{
    const PathState state = m_paths.state(target.instance());
    if (state != PathState::Trusted) {
        testIfDue(target);
        if (const auto relay = m_relays.choose(candidates(), target.dataCentre, m_loop.now()))
            return openRelayed(target, request, *relay, events);
    }
    if (state == PathState::Lost)
        return {std::make_unique<UnavailableConnection>(m_loop, events), std::nullopt,
                ConnectTimeout};
    return {std::make_unique<StreamSocket>(m_loop, events, target.address, m_from), std::nullopt,
            ConnectTimeout};
}

OpeningConnection PathMonitor::openRelayed(const TargetEntry &target, const RequestKey &request,
                                           const Endpoint &relay, StreamSocketEvents &events)
{
    const auto opened
        = [this, relay, target](RelayOutcome outcome) { onRelayAnswered(target, relay, outcome); };
    return {std::make_unique<RelayedConnection>(
                m_loop, events, relay,
                RelayRequest {RelayService::Connect, target.instance(), target.address, request},
                m_from, opened),
            relay, RelayTimeout};
}

bool PathMonitor::isUsable(const TargetEntry &target, const std::optional<Endpoint> &relay) const
{
    if (!relay)
        return m_paths.state(target.instance()) == PathState::Trusted;
    // A daemon that leaves ends once it carries no connections.
    const std::vector<RelayCandidate> known = candidates();
    return m_paths.state(target.instance()) != PathState::Trusted
        && std::ranges::any_of(known,
                               [&](const RelayCandidate &one) { return one.address == *relay; });
}

void PathMonitor::recordLost(const TargetEntry &target, const std::optional<Endpoint> &relay,
                             AttemptLoss loss)
{
    if (!relay)
        ++m_losses[target.instance()];
    else if (loss == AttemptLoss::Unanswered)
        m_relays.recordBroken(*relay);
    inquire(target);
}

void PathMonitor::inquire(const TargetEntry &target)
{
    if (!m_inquiries.contains(target.instance()))
        startInquiry(target);
}

void PathMonitor::testIfDue(const TargetEntry &target)
{
    if (m_paths.takeTest(target.instance(), m_loop.now()))
        inquire(target);
}

void PathMonitor::startInquiry(const TargetEntry &target)
{
    ReachInquirySetup setup {.target = target,
                             .from = m_from,
                             .panel = m_relays.choosePanel(candidates(), PanelSize),
                             .isAlone = !m_peers || m_peers->isAlone()};
    ReachInquiryListener &listener = *this;
    m_inquiries[target.instance()]
        = std::make_unique<ReachInquiry>(m_loop, std::move(setup), listener);
}

void PathMonitor::onRelayAnswered(const TargetEntry &target, const Endpoint &relay,
                                  RelayOutcome outcome)
{
    m_relays.record(relay, outcome, m_loop.now());
    if (outcome == RelayOutcome::Reached)
        return;
    m_log.write(LogEvent(PathsEvent::RelayFailed)
                    .with("target", target.id.text())
                    .with("daemon", relay.text())
                    .with("reason", std::string(nameOf(outcome))));
}

void PathMonitor::onReachConcluded(const TargetEntry &target, const ReachConclusion &conclusion)
{
    const auto found = m_losses.find(target.instance());
    const unsigned losses = found == m_losses.end() ? 0 : found->second;
    m_losses.erase(target.instance());
    const ReachEvidence &evidence = conclusion.evidence;
    m_log.write(LogEvent(PathsEvent::ReachConcluded)
                    .with("target", target.id.text())
                    .with("verdict", std::string(nameOf(conclusion.verdict)))
                    .with("own", std::string(nameOf(evidence.own)))
                    .with("alone", evidence.isAlone)
                    .with("reached", evidence.reached)
                    .with("refused", evidence.refused)
                    .with("silent", evidence.silent)
                    .with("uninformed", evidence.uninformed)
                    .with("losses", losses)
                    .with("took_ms", conclusion.took));
    recordPath(target, conclusion);
    m_listener.onReachConcluded(target, conclusion, losses);
}

void PathMonitor::recordPath(const TargetEntry &target, const ReachConclusion &conclusion)
{
    const Instant now = m_loop.now();
    if (conclusion.verdict == ReachVerdict::Here) {
        if (const std::optional<Duration> lost = m_paths.recordReached(target.instance(), now)) {
            m_log.write(LogEvent(PathsEvent::PathRestored)
                            .with("target", target.id.text())
                            .with("lost_ms", *lost)
                            .with("lost_paths", m_paths.lostCount()));
        }
    }
    if (conclusion.verdict != ReachVerdict::Elsewhere
        || !m_paths.recordLost(target.instance(), now))
        return;
    m_log.write(LogEvent(PathsEvent::PathLost)
                    .with("target", target.id.text())
                    .with("own", std::string(nameOf(conclusion.evidence.own)))
                    .with("reached_by", textOf(conclusion.reachedBy))
                    .with("lost_paths", m_paths.lostCount()));
}

void PathMonitor::onInquiryFinished(const TargetInstance &target)
{
    const auto found = m_inquiries.find(target);
    if (found == m_inquiries.end())
        return;
    // Called from a member function of the inquiry, so it is destroyed after the event.
    m_loop.defer([gone = std::shared_ptr<ReachInquiry>(std::move(found->second))] {});
    m_inquiries.erase(found);
}

void PathMonitor::forget(const TargetInstance &target)
{
    m_paths.forget(target);
    m_losses.erase(target);
    m_inquiries.erase(target);
}

} // namespace Apricothook
