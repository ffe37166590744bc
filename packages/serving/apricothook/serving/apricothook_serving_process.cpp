#include <apricothook/serving/apricothook_serving_process.hpp>

#include <apricothook/http1/apricothook_http_status.hpp>

#include <apricothook/fleetview/apricothook_fleetview_event.hpp>
#include <apricothook/fleetview/apricothook_peer_item_protocol.hpp>

#include <utility>

namespace Apricothook {

namespace {

constexpr std::string_view MetricsPath = "/metrics";
constexpr std::chrono::seconds RankPause {1};
/** Between looks whether a stopping process has ended its requests. */
constexpr std::chrono::milliseconds EndPause {50};

SmallAnswer statusAlone(unsigned status)
{
    SmallAnswer answer;
    answer.status = status;
    return answer;
}

} // namespace

ServingProcess::ServingProcess(const ServingSettings &settings, const ServingAdapters &adapters,
                               const Clock &clock, RandomSource &random, LogWriter &log)
    : m_settings(settings)
    , m_adapters(adapters)
    , m_incarnation(clock.wallMilliseconds())
    , m_log(log)
    , m_loop(clock)
    , m_gateway(m_loop, adapters.wire, random, log, m_metrics, settings.bounds, settings.dataCentre,
                settings.policies, {memberHash(settings.member), settings.beaconAddress})
    , m_published(m_loop, m_gateway, adapters.decoder, log)
    , m_peers(m_loop, m_settings, m_incarnation, m_gateway, m_published, random, m_metrics, log)
{
}

ServingProcess::~ServingProcess()
{
    // Its thread posts to the loop, which goes after it.
    m_watcher.reset();
}

Result<void, ListenError> ServingProcess::start()
{
    const auto open = [this](std::unique_ptr<SmallHttpServer> &server, const Endpoint &address,
                             SmallAnswer (ServingProcess::*answer)(const RequestHead &)
                                 const) -> Result<void, ListenError> {
        Result<std::unique_ptr<SmallHttpServer>, ListenError> opened
            = SmallHttpServer::open(m_loop, address, [this, answer](const RequestHead &request) {
                  return (this->*answer)(request);
              });
        if (!opened)
            return opened.error();
        server = std::move(opened).value();
        return Outcomes::success();
    };
    BOOST_OUTCOME_TRY(open(m_control, m_settings.controlAddress, &ServingProcess::answerControl));
    BOOST_OUTCOME_TRY(open(m_lookups, m_settings.lookupAddress, &ServingProcess::answerLookup));
    BOOST_OUTCOME_TRY(
        open(m_readiness, m_settings.readinessAddress, &ServingProcess::answerReadiness));
    BOOST_OUTCOME_TRY(m_peers.start([this](bool reads) { setReading(reads); }));
    BOOST_OUTCOME_TRY(m_gateway.listen(m_settings.callerAddress));
    m_gateway.setLoadListener([this] { m_peers.noteChange(); });
    watchItems();
    rankCustomers();
    m_log.write(LogEvent(FleetviewEvent::ProcessStarted)
                    .with("callers", m_settings.callerAddress.text())
                    .with("beacons", m_settings.beaconAddress.text())
                    .with("source", m_settings.itemSource.text())
                    .with("process", m_incarnation.value()));
    return Outcomes::success();
}

void ServingProcess::watchItems()
{
    const auto updated = [this](ItemUpdate update) {
        const auto apply = [this, update = std::move(update)] {
            m_published.apply(update);
            m_peers.noteRevision();
        };
        // The ring is full only while the loop is far behind; the update must not be lost.
        while (!m_loop.post(apply))
            std::this_thread::sleep_for(EndPause);
    };
    const auto changed = [this](SourceState state) {
        m_loop.post([this, state] {
            m_published.setSourceState(state);
            m_peers.noteOwnSource();
        });
    };
    m_watcher = std::make_unique<ItemWatcher>(
        m_settings.itemSource, m_adapters.items,
        ItemWatcher::watchTime(m_settings.bounds.applyTimeout), updated, changed);
}

void ServingProcess::setReading(bool reads)
{
    const Revision known = m_published.replica().revision();
    m_log.write(
        LogEvent(FleetviewEvent::ReadingChanged).with("reads", reads).with("revision", known));
    if (reads)
        m_watcher->resumeReading(known);
    else
        m_watcher->pauseReading();
}

void ServingProcess::rankCustomers()
{
    m_metrics.updateTopCustomers(m_loop.now());
    m_metrics.set(MetricGauge::LiveMembers,
                  static_cast<double>(m_peers.directory().liveCount(m_loop.now())));
    m_metrics.set(MetricGauge::CallerConnections,
                  static_cast<double>(m_gateway.callerConnections()));
    m_metrics.set(MetricGauge::CallerExchanges, static_cast<double>(m_gateway.openRequests()));
    m_metrics.set(MetricGauge::WaitingRequests,
                  static_cast<double>(m_gateway.dispatcher().waiting()));
    const TargetTable &targets = m_gateway.targets();
    m_metrics.set(MetricGauge::EvacuatedTargets, static_cast<double>(targets.evacuatedCount()));
    m_metrics.set(MetricGauge::ColdTargets, static_cast<double>(targets.coldCount()));
    m_loop.after(RankPause, [this] { rankCustomers(); });
}

std::vector<LookupEntry> ServingProcess::readyEntries() const
{
    std::vector<LookupEntry> entries;
    if (m_peers.isReady())
        entries.push_back({m_settings.callerAddress, m_settings.dataCentre});
    const FleetDirectory &directory = m_peers.directory();
    for (const auto &[id, member] : directory.members()) {
        const MemberInfo &brief = member.info;
        if (directory.isRoutable(member, m_loop.now()) && brief.isReady && !brief.isLeaving)
            entries.push_back({brief.callerAddress, brief.dataCentre});
    }
    return entries;
}

SmallAnswer ServingProcess::answerLookup(const RequestHead &request) const
{
    const std::optional<LookupQuestion> question = m_adapters.lookups.question(request);
    if (!question)
        return statusAlone(HttpStatus::NotFound);
    const std::vector<Endpoint> entries
        = nearEntries(readyEntries(), m_settings.regions, *question);
    if (entries.empty())
        return statusAlone(HttpStatus::Unavailable);
    return m_adapters.lookups.answer({entries, LookupKeep});
}

SmallAnswer ServingProcess::answerReadiness(const RequestHead &request) const
{
    if (!m_adapters.lookups.asksReadiness(request))
        return statusAlone(HttpStatus::NotFound);
    return statusAlone(m_peers.isReady() ? HttpStatus::Ok : HttpStatus::Unavailable);
}

SmallAnswer ServingProcess::answerControl(const RequestHead &request) const
{
    if (request.target == MetricsPath)
        return {.status = HttpStatus::Ok,
                .contentType = "text/plain; version=0.0.4",
                .body = m_metrics.text()};
    if (const std::optional<Revision> after = requestedRevision(request.target)) {
        return {.status = HttpStatus::Ok,
                .contentType = "application/json",
                .body = writeItemUpdate(m_published.replica().since(*after))};
    }
    return statusAlone(HttpStatus::NotFound);
}

void ServingProcess::startStopping()
{
    if (std::exchange(m_stopping, true))
        return;
    const Instant now = m_loop.now();
    m_log.write(LogEvent(FleetviewEvent::ProcessStopping)
                    .with("open_requests", m_gateway.openRequests())
                    .with("connections", m_gateway.callerConnections()));
    m_peers.startLeaving();
    m_gateway.startDraining();
    // A call that is under way at the end would hold the process beyond its grace, and it would be
    // killed with its last answers unsent.
    m_loop.after(m_settings.bounds.grace - EndMargin - ItemWatcher::StopTime,
                 [this] { m_watcher->stop(); });
    const Instant latest = now + m_settings.bounds.grace - EndMargin;
    m_loop.after(KeepFactor * LookupKeep, [this, latest] {
        stopTaking();
        endWhenDone(latest);
    });
}

void ServingProcess::stopTaking()
{
    m_gateway.refuseNewRequests();
    m_gateway.stopListening();
}

void ServingProcess::endWhenDone(Instant latest)
{
    const bool isDone = m_gateway.openRequests() == 0 && m_gateway.callerConnections() == 0;
    if (!isDone && m_loop.now() < latest) {
        m_loop.after(EndPause, [this, latest] { endWhenDone(latest); });
        return;
    }
    m_log.write(
        LogEvent(FleetviewEvent::ProcessStopped).with("open_requests", m_gateway.openRequests()));
    m_loop.stop();
}

} // namespace Apricothook
