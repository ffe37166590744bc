#include <apricothook/serving/apricothook_serving_process.hpp>

#include <apricothook/http1/apricothook_http_status.hpp>

#include <apricothook/fleetview/apricothook_fleetview_event.hpp>
#include <apricothook/fleetview/apricothook_peer_item_protocol.hpp>

#include <utility>

namespace Apricothook {

namespace {

constexpr std::string_view MetricsPath = "/metrics";
constexpr std::chrono::seconds MetricsInterval {1};
/** Interval of the checks whether a stopping process has completed its requests. */
constexpr std::chrono::milliseconds PollInterval {50};
/** Hold-ups of the loop that are told; callers notice them in the first event of a response. */
constexpr std::chrono::milliseconds ShortestHoldUp {100};

SimpleHttpResponse statusOnly(unsigned status)
{
    SimpleHttpResponse response;
    response.status = status;
    return response;
}

} // namespace

ServingProcess::ServingProcess(const ServingSettings &settings, const ServingAdapters &adapters,
                               const Clock &clock, RandomSource &random, LogWriter &log)
    : m_settings(settings)
    , m_adapters(adapters)
    , m_clock(clock)
    , m_incarnation(clock.wallMilliseconds())
    , m_log(log)
    , m_loop(clock)
    , m_gateway(m_loop, adapters.wire, random, log, m_metrics, settings.bounds, settings.dataCentre,
                settings.policies, {memberHash(settings.member), settings.peerAddress},
                callerResources(settings.process))
    , m_published(m_loop, m_gateway, adapters.decoder, log, settings.bounds.entryInterval)
    , m_peers(m_loop, m_settings, m_incarnation, m_gateway, m_published, random, m_metrics, log)
    , m_relay({m_loop, m_relayPeers, m_gateway.targets(), m_gateway.paths(), log,
               settings.peerAddress.address},
              random)
{
    m_gateway.setRelayPeers(m_relayPeers);
}

ServingProcess::~ServingProcess()
{
    // The watcher's thread posts to the loop and must end before it.
    m_watcher.reset();
}

Result<void, ListenError> ServingProcess::start()
{
    const auto openServer
        = [this](std::unique_ptr<SimpleHttpServer> &server, const Endpoint &address,
                 SimpleHttpResponse (ServingProcess::*response)(
                     const RequestHead &)) -> Result<void, ListenError> {
        Result<std::unique_ptr<SimpleHttpServer>, ListenError> opened = SimpleHttpServer::open(
            m_loop, address,
            [this, response](const RequestHead &request) { return (this->*response)(request); },
            m_gateway.callerMemory().limits().otherConnections);
        if (!opened)
            return opened.error();
        server = std::move(opened).value();
        return Outcomes::success();
    };
    BOOST_OUTCOME_TRY(
        openServer(m_control, m_settings.controlAddress, &ServingProcess::handleControl));
    BOOST_OUTCOME_TRY(
        openServer(m_lookups, m_settings.lookupAddress, &ServingProcess::handleLookup));
    BOOST_OUTCOME_TRY(
        openServer(m_readiness, m_settings.readinessAddress, &ServingProcess::handleReadiness));
    BOOST_OUTCOME_TRY(m_peers.start([this](bool reads) { setReadsSource(reads); }));
    BOOST_OUTCOME_TRY(m_relay.listen(m_settings.peerAddress));
    BOOST_OUTCOME_TRY(m_gateway.listen(m_settings.callerAddress));
    m_gateway.setLoadListener([this] { m_peers.onLoadChanged(); });
    startItemWatcher();
    updateMetrics();
    m_loop.setHoldUpListener(ShortestHoldUp, [this](Duration held) {
        m_log.write(LogEvent(FleetviewEvent::LoopHeldUp).with("held_ms", held));
        m_metrics.loopHeldUp(held);
    });
    m_log.write(LogEvent(FleetviewEvent::ProcessStarted)
                    .with("callers", m_settings.callerAddress.text())
                    .with("beacons", m_settings.peerAddress.text())
                    .with("source", m_settings.itemSource.text())
                    .with("process", m_incarnation.value()));
    return Outcomes::success();
}

void ServingProcess::startItemWatcher()
{
    const auto updated = [this](ItemUpdate update) {
        const auto apply = [this, update = std::move(update)] {
            m_published.apply(update);
            m_peers.onItemsApplied();
        };
        // The loop's queue is full only while the loop lags far behind; no update may be dropped.
        while (!m_loop.post(apply))
            std::this_thread::sleep_for(PollInterval);
    };
    const auto confirmed = [this](Instant time) {
        // Later confirmations make up for one that is dropped while the loop lags behind.
        m_loop.post([this, time] { m_peers.onSourceConfirmed(time); });
    };
    const auto changed = [this](SourceState state, const TransferRecord &record) {
        m_loop.post([this, state, record] {
            m_published.setSourceState(state, record);
            m_peers.onOwnSourceStateChanged();
        });
    };
    m_watcher = std::make_unique<ItemWatcher>(
        m_settings.itemSource, m_adapters.items, m_clock,
        ItemWatcher::watchTime(m_settings.bounds.applyTimeout), updated, confirmed, changed);
}

void ServingProcess::setReadsSource(bool reads)
{
    const Revision known = m_published.replica().revision();
    m_log.write(
        LogEvent(FleetviewEvent::ReadingChanged).with("reads", reads).with("revision", known));
    if (reads)
        m_watcher->resumeReading(known);
    else
        m_watcher->pauseReading();
}

void ServingProcess::updateMetrics()
{
    m_metrics.updateTopCustomers(m_loop.now());
    m_metrics.set(MetricGauge::LiveMembers,
                  static_cast<double>(m_peers.directory().liveCount(m_loop.now())));
    m_metrics.set(MetricGauge::CallerConnections,
                  static_cast<double>(m_gateway.callerConnections()));
    m_metrics.set(MetricGauge::CallerExchanges, static_cast<double>(m_gateway.openRequests()));
    m_metrics.set(MetricGauge::WaitingRequests,
                  static_cast<double>(m_gateway.dispatcher().waiting()));
    if (const std::optional<Duration> age = m_peers.viewAge()) {
        m_metrics.set(MetricGauge::ViewAge, std::chrono::duration<double>(*age).count());
    }
    m_metrics.set(MetricGauge::Generation,
                  static_cast<double>(m_published.generation().value_or(Generation()).value()));
    const CallerMemory &held = m_gateway.callerMemory();
    for (std::size_t purpose = 0; purpose < HeldForCount; ++purpose)
        m_metrics.setHeldForCallers(nameOf(static_cast<HeldFor>(purpose)),
                                    held.held(static_cast<HeldFor>(purpose)));
    m_metrics.set(MetricGauge::HeldForCallersLimit, static_cast<double>(held.limits().heldBytes));
    m_heapTrimmer.review(held.held());
    const TargetTable &targets = m_gateway.targets();
    m_metrics.set(MetricGauge::EvacuatedTargets, static_cast<double>(targets.evacuatedCount()));
    m_metrics.set(MetricGauge::ColdTargets, static_cast<double>(targets.coldCount()));
    m_metrics.set(MetricGauge::LimitedTargets, static_cast<double>(targets.limitedCount()));
    m_metrics.set(MetricGauge::LostPaths, static_cast<double>(m_gateway.paths().lostCount()));
    m_metrics.set(MetricGauge::RelaySessions, static_cast<double>(m_relay.sessions()));
    m_gateway.reviewTargetLimits();
    m_loop.after(MetricsInterval, [this] { updateMetrics(); });
}

std::vector<LookupCandidate> ServingProcess::lookupCandidates() const
{
    std::vector<LookupCandidate> candidates;
    if (m_peers.isReady())
        candidates.push_back({m_settings.callerAddress, m_settings.dataCentre});
    const FleetDirectory &directory = m_peers.directory();
    for (const auto &[id, member] : directory.members()) {
        const MemberInfo &info = member.info;
        if (directory.isRoutable(member, m_loop.now()) && info.isReady && !info.isLeaving)
            candidates.push_back({info.callerAddress, info.dataCentre});
    }
    return candidates;
}

SimpleHttpResponse ServingProcess::handleLookup(const RequestHead &request)
{
    const std::optional<LookupRequest> lookup = m_adapters.lookups.parseLookup(request);
    if (!lookup)
        return statusOnly(HttpStatus::NotFound);
    const std::vector<Endpoint> candidates
        = nearestAddresses(lookupCandidates(), m_settings.regions, *lookup);
    if (candidates.empty())
        return statusOnly(HttpStatus::Unavailable);
    return m_adapters.lookups.lookupResponse({candidates, LookupTtl});
}

SimpleHttpResponse ServingProcess::handleReadiness(const RequestHead &request)
{
    if (!m_adapters.lookups.isReadinessRequest(request))
        return statusOnly(HttpStatus::NotFound);
    return statusOnly(m_peers.isReady() ? HttpStatus::Ok : HttpStatus::Unavailable);
}

SimpleHttpResponse ServingProcess::handleControl(const RequestHead &request)
{
    if (request.target == MetricsPath)
        return {.status = HttpStatus::Ok,
                .contentType = "text/plain; version=0.0.4",
                .body = m_metrics.text()};
    if (const std::optional<Revision> after = requestedRevision(request.target)) {
        return m_itemResponses.respond(*after, acceptsGzip(request));
    }
    return statusOnly(HttpStatus::NotFound);
}

void ServingProcess::startShutdown()
{
    if (std::exchange(m_stopping, true))
        return;
    // A process that got no processor handles the request late, so the grace period may have begun
    // at any time since the last poll. What begins must be complete in any case; what is open goes
    // on.
    const Instant now = m_loop.now();
    const Duration late = now - m_loop.polledBefore();
    const Instant latestEnd = now + m_settings.bounds.grace - ShutdownMargin;
    const Instant earliestEnd = latestEnd - late;
    m_log.write(LogEvent(FleetviewEvent::ProcessStopping)
                    .with("late_ms", late)
                    .with("ends_ms", latestEnd - now)
                    .with("open_requests", m_gateway.openRequests())
                    .with("connections", m_gateway.callerConnections()));
    m_peers.startDraining();
    m_gateway.startDraining(earliestEnd);
    m_relay.startDraining();
    // A call to the source that is still open at the end would keep the process alive beyond its
    // grace period; it would be killed before its last responses are sent.
    m_loop.after(earliestEnd - ItemWatcher::StopTime - now, [this] { m_watcher->stop(); });
    m_loop.after(earliestEnd - now, [this] { m_gateway.refuseWaitingRequests(); });
    m_loop.after(TtlFactor * LookupTtl, [this, latestEnd] {
        stopAccepting();
        stopWhenIdle(latestEnd);
    });
}

void ServingProcess::stopAccepting()
{
    m_gateway.refuseNewRequests();
    m_gateway.stopListening();
}

void ServingProcess::stopWhenIdle(Instant latest)
{
    const bool isDone = m_gateway.openRequests() == 0 && m_gateway.callerConnections() == 0
        && m_relay.sessions() == 0;
    if (!isDone && m_loop.now() < latest) {
        m_loop.after(PollInterval, [this, latest] { stopWhenIdle(latest); });
        return;
    }
    m_log.write(
        LogEvent(FleetviewEvent::ProcessStopped).with("open_requests", m_gateway.openRequests()));
    m_gateway.endUnansweredRequests();
    // The responses that the kernel didn't accept at once are sent meanwhile.
    m_loop.after(PollInterval, [this] {
        m_gateway.closeConnections();
        m_loop.stop();
    });
}

} // namespace Apricothook
