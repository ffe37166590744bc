#include <apricothook/serving/apricothook_peer_exchange.hpp>

#include <apricothook/fleetview/apricothook_fleetview_event.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

PeerExchange::PeerExchange(EventLoop &loop, const ServingSettings &settings, Incarnation process,
                           Gateway &gateway, PublishedState &published, RandomSource &random,
                           Metrics &metrics, LogWriter &log)
    : m_loop(loop)
    , m_settings(settings)
    , m_process(process)
    , m_gateway(gateway)
    , m_published(published)
    , m_metrics(metrics)
    , m_log(log)
    , m_directory(settings.member)
    , m_fleetSize(m_directory, settings.seeds, settings.peerAddress)
    , m_coldViewTracker(m_directory, settings.seeds, settings.peerAddress,
                        settings.bounds.entryInterval)
    , m_cell(loop, m_directory, *this, gateway, log)
    , m_fleet(loop, m_directory, *this, random, settings.seeds)
    , m_limits(loop, m_directory, m_fleetSize, *this, gateway, random, settings.seeds,
               settings.isFirstStart)
    , m_revisions(loop, published, log)
{
}

PeerExchange::~PeerExchange()
{
    m_loop.cancel(m_tick);
}

Result<void, ListenError> PeerExchange::start(std::function<void(bool reads)> readingChanged)
{
    m_onReadingChanged = std::move(readingChanged);
    Result<std::unique_ptr<DatagramSocket>, ListenError> socket = DatagramSocket::open(
        m_loop, m_settings.peerAddress, [this](std::string_view bytes) { receive(bytes); });
    if (!socket)
        return socket.error();
    m_socket = std::move(socket).value();
    m_started = m_loop.now();
    m_fleet.start();
    tick();
    return Outcomes::success();
}

void PeerExchange::tick()
{
    const Instant now = m_loop.now();
    m_directory.review(now);
    reviewFleetSize();
    m_gateway.targets().setCells(m_directory.weights(now));
    reviewColdTargets();
    reviewReading();
    m_cell.tick();
    m_limits.tick();
    m_fleet.sendSummaries();
    if (m_loop.now() - m_lastAnnouncement >= ReaderSelection::AnnouncementInterval)
        sendReaderAnnouncement();
    const bool isStarting = m_loop.now() - m_started < StartupTime;
    m_tick = m_loop.after(isStarting ? StartupHeartbeatInterval : HeartbeatInterval,
                          [this] { tick(); });
}

void PeerExchange::reviewColdTargets()
{
    TargetTable &targets = m_gateway.targets();
    targets.review(m_loop.now());
    ColdTargetSenders fleet = m_coldViewTracker.review(
        {m_published.reachesSource(), sourceReachability().anyReachable}, m_loop.now());
    // The others learn that this daemon leaves, and send to the cold targets in its place.
    if (m_draining)
        fleet.view = std::min(fleet.view, ColdView::Outside);
    if (fleet.view != std::exchange(m_coldView, fleet.view)) {
        m_log.write(LogEvent(FleetviewEvent::ColdViewChanged)
                        .with("view", std::string(nameOf(fleet.view)))
                        .with("members", fleet.members.size()));
    }
    targets.setShareMembers(shareMembers(fleet), shareSettlingTime(), m_loop.now());
    targets.setColdTargetSenders(std::move(fleet));
}

std::vector<std::uint64_t> PeerExchange::shareMembers(const ColdTargetSenders &fleet) const
{
    // The others deal the slots of a leaving daemon to themselves.
    if (fleet.view == ColdView::Alone || m_draining)
        return {};
    return fleet.members;
}

Duration PeerExchange::shareSettlingTime() const
{
    return std::max<Duration>(ShareSettlingTime, m_directory.otherCellLimit());
}

void PeerExchange::reviewFleetSize()
{
    const Instant now = m_loop.now();
    m_gateway.setMembers(m_directory.liveCount(now));
    m_fleetSize.review(now);
    m_gateway.setFleetSize(m_fleetSize.daemons());
}

void PeerExchange::reviewReading()
{
    const Instant now = m_loop.now();
    updateSourceReachability();
    if (!m_readsSource && m_published.hasLostSource() && now - m_readingChanged > ReaderRetryDelay)
        m_published.clearSourceState();
    reviewViewAge();
    // A daemon that peers failed to serve reads at the source for some time, as the cause seldom
    // ends at once.
    if (m_revisions.isStuck() || m_isViewOld)
        m_directReadUntil = now + DirectReadTime;
    // A process without a configuration reads itself, as its peers may have none either.
    const MemberInfo self = ownInfo();
    m_isCellReader = m_directory.isReader(self, now);
    // If the rate at cold targets is limited, a daemon that has just started reads the source to
    // learn sooner which targets are cold, and to use the warm ones.
    const bool needsColdState = m_gateway.targets().limitsColdTargets()
        && m_coldViewTracker.mayHaveStaleEntries(true, now);
    const bool reads = !m_published.hasConfiguration()
        || m_readerSelection.shouldRead(m_directory, self, now) || now < m_directReadUntil
        || needsColdState;
    if (reads == std::exchange(m_readsSource, reads))
        return;
    m_readingChanged = now;
    m_revisions.setReadsSource(reads);
    m_onReadingChanged(reads);
}

void PeerExchange::reviewViewAge()
{
    // Until the first confirmation, the items may be as old as the peers that delivered them.
    const Duration age = viewAge().value_or(m_loop.now() - m_started);
    const bool isOld = age > ViewAge::limit(m_settings.bounds.applyTimeout);
    if (isOld == std::exchange(m_isViewOld, isOld))
        return;
    m_log.write(LogEvent(isOld ? FleetviewEvent::ViewOld : FleetviewEvent::ViewConfirmed)
                    .with("age_ms", age)
                    .with("revision", m_published.replica().revision())
                    .with("reads", m_readsSource));
}

void PeerExchange::confirmView(const ViewReport &report)
{
    m_viewAge.confirm(report, m_published.replica().revision(), m_loop.now());
    passViewOn();
}

void PeerExchange::passViewOn()
{
    const std::optional<Duration> age = viewAge();
    if (!age)
        return;
    m_gateway.confirmView(m_loop.now() - *age);
    m_published.confirmView(m_loop.now() - *age);
}

void PeerExchange::onSourceConfirmed(Instant time)
{
    m_viewAge.confirm(time);
    passViewOn();
    // The next announcement would report this confirmation only when it is older.
    if (m_directory.isFleetReader(ownInfo(), m_loop.now()))
        sendReaderAnnouncement();
}

SourceReachability PeerExchange::sourceReachability() const
{
    const Instant now = m_loop.now();
    SourceReachability reachability = m_directory.sourceReachability(ownInfo(), now);
    const SourceReachability ofFleet = m_readerSelection.sourceReachability(now);
    reachability.anyReachable |= ofFleet.anyReachable;
    reachability.anyFailed |= ofFleet.anyFailed;
    return reachability;
}

void PeerExchange::updateSourceReachability()
{
    m_published.recordSourceReachability(sourceReachability());
}

void PeerExchange::onOwnSourceStateChanged()
{
    updateSourceReachability();
    // Informs the daemon that takes over the reading at once, not with the next regular heartbeat.
    if (!m_published.hasLostSource())
        return;
    m_cell.sendHeartbeat();
    sendReaderAnnouncement();
}

void PeerExchange::sendReaderAnnouncement()
{
    const Instant now = m_loop.now();
    const MemberInfo self = ownInfo();
    // A daemon that has just lost the source is no longer a reader, but must still announce that.
    const bool isReader = m_directory.isFleetReader(self, now) || self.hasLostSource;
    if (!m_readsSource || m_directory.cells() == 1 || !isReader)
        return;
    m_lastAnnouncement = now;
    send(m_directory.readersOfOtherCells(now), ReaderAnnouncement {self, ownRevision(), ownView()});
}

void PeerExchange::onItemsApplied()
{
    // Readers announce a new revision at once. The other daemons include it in their next regular
    // heartbeat.
    const bool isNewRevision
        = std::exchange(m_lastAnnouncedRevision, ownRevision()) != ownRevision();
    if (!isNewRevision || (!m_readsSource && !m_isCellReader)
        || !std::exchange(m_revisionAnnounced, false))
        return;
    m_loop.defer([this] {
        m_revisionAnnounced = true;
        m_cell.sendHeartbeat();
        sendReaderAnnouncement();
    });
}

void PeerExchange::startDraining()
{
    m_draining = true;
    m_fleet.announce();
}

void PeerExchange::send(const Endpoint &to, const PeerDatagram &datagram)
{
    send(std::vector {to}, datagram);
}

void PeerExchange::send(const std::vector<Endpoint> &to, const PeerDatagram &datagram)
{
    const std::string bytes = writePeerDatagram(datagram);
    for (const Endpoint &receiver : to)
        m_socket->send(receiver, bytes);
    m_metrics.controlBytes(Direction::Sent, bytes.size() * to.size());
}

MemberInfo PeerExchange::ownInfo() const
{
    // The members of the cell learn only from this field whether any reader reaches the source.
    const bool followsReader
        = !m_readsSource && m_readerSelection.reachableReaders(m_loop.now()) > 0;
    return {
        .member = m_settings.member,
        .process = m_process,
        .dataCentre = m_settings.dataCentre,
        .peerAddress = m_settings.peerAddress,
        .callerAddress = m_settings.callerAddress,
        .itemAddress = m_settings.controlAddress,
        .isReady = isReady(),
        .isLeaving = m_draining,
        .reachesSource = m_published.reachesSource() || followsReader,
        .hasLostSource = m_published.hasLostSource(),
        .capacity = m_settings.capacity,
        .age = 0,
    };
}

std::uint64_t PeerExchange::ownRevision() const
{
    // A daemon that doesn't read omits the revision of its first update, as that holds no new
    // change and peers would request all items for it.
    const ItemReplica &replica = m_published.replica();
    return m_readsSource || m_isCellReader ? replica.advertisedRevision()
                                           : replica.relevantRevision();
}

ViewReport PeerExchange::ownView() const
{
    return m_viewAge.report(m_published.replica().advertisedRevision(), m_loop.now());
}

void PeerExchange::receive(std::string_view bytes)
{
    m_metrics.controlBytes(Direction::Received, bytes.size());
    const Result<PeerDatagram, CodecError> datagram = parsePeerDatagram(bytes);
    // Ignores truncated and foreign datagrams; the next valid one carries the same state.
    if (datagram)
        std::visit([this](const auto &message) { take(message); }, datagram.value());
}

void PeerExchange::take(const Heartbeat &heartbeat)
{
    m_directory.update(heartbeat.sender, m_loop.now());
    m_cell.take(heartbeat);
    // Before the items are applied, as the state of the source decides whether their removals are
    // credible.
    updateSourceReachability();
    if (heartbeat.sender.hasLostSource)
        reviewReading();
    confirmView(heartbeat.view);
    m_revisions.recordPeerRevision(heartbeat.sender, heartbeat.revision);
}

void PeerExchange::take(const ReaderAnnouncement &announcement)
{
    m_readerSelection.recordAnnouncement(announcement, m_loop.now());
    m_directory.update(announcement.sender, m_loop.now());
    updateSourceReachability();
    if (announcement.sender.hasLostSource)
        reviewReading();
    confirmView(announcement.view);
    m_revisions.recordPeerRevision(announcement.sender, announcement.revision);
}

void PeerExchange::take(const CellSummary &summary)
{
    m_fleet.take(summary);
    confirmView(summary.view);
    if (!summary.members.empty())
        m_revisions.recordPeerRevision(summary.members.front(), summary.revision);
}

} // namespace Apricothook
