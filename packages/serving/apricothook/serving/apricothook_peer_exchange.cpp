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
    , m_size(m_directory, settings.seeds, settings.beaconAddress)
    , m_cold(m_directory, settings.seeds, settings.beaconAddress, settings.bounds.entryInterval)
    , m_cell(loop, m_directory, *this, gateway, log)
    , m_fleet(loop, m_directory, *this, random, settings.seeds)
    , m_limits(loop, m_directory, m_size, *this, gateway, random, settings.seeds)
    , m_suspects(loop, m_directory, *this, random, log)
    , m_revisions(loop, published, log)
{
    gateway.setSuspectGuard(m_suspects);
}

PeerExchange::~PeerExchange()
{
    m_loop.cancel(m_tick);
}

Result<void, ListenError> PeerExchange::start(std::function<void(bool reads)> readingChanged)
{
    m_tellReading = std::move(readingChanged);
    Result<std::unique_ptr<DatagramSocket>, ListenError> socket = DatagramSocket::open(
        m_loop, m_settings.beaconAddress, [this](std::string_view bytes) { receive(bytes); });
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
    countMembers();
    m_gateway.targets().setCells(m_directory.weights(now));
    reviewColdTargets();
    reviewReading();
    m_cell.tick();
    m_limits.tick();
    m_fleet.sendSummaries();
    if (m_loop.now() - m_noted >= ReaderSelection::AnnouncementInterval)
        sendReaderNote();
    const bool isStarting = m_loop.now() - m_started < StartingTime;
    m_tick = m_loop.after(isStarting ? StartingPause : IdlePause, [this] { tick(); });
}

void PeerExchange::reviewColdTargets()
{
    TargetTable &targets = m_gateway.targets();
    targets.review(m_loop.now());
    ColdTargetSenders fleet
        = m_cold.review({m_published.reachesSource(), sourceContact().anyReachable}, m_loop.now());
    // Others hear that it leaves, and send in its place.
    if (m_leaving)
        fleet.view = std::min(fleet.view, ColdView::Outside);
    if (fleet.view != std::exchange(m_coldView, fleet.view)) {
        m_log.write(LogEvent(FleetviewEvent::ColdViewChanged)
                        .with("view", std::string(nameOf(fleet.view)))
                        .with("members", fleet.members.size()));
    }
    targets.setColdTargetSenders(std::move(fleet));
}

void PeerExchange::countMembers()
{
    const Instant now = m_loop.now();
    m_gateway.setMembers(m_directory.liveCount(now));
    m_size.review(now);
    m_gateway.setFleetSize(m_size.daemons());
}

void PeerExchange::reviewReading()
{
    const Instant now = m_loop.now();
    noteSource();
    if (!m_reads && m_published.hasLostSource() && now - m_readingChanged > LostMemory)
        m_published.forgetSourceState();
    // Who had to help itself goes on with it for a while: the reason is seldom gone at once.
    if (m_revisions.isStuck())
        m_stuckUntil = now + StuckTime;
    // A process without a configuration can't wait for a peer that may have none either.
    const MemberInfo self = ownBrief();
    m_isCellReader = m_directory.isReader(self, now);
    // Where targets are bounded while they are cold, a daemon that has just started soon knows
    // which are, and may use the others.
    const bool looksForCold
        = m_gateway.targets().limitsColdTargets() && m_cold.mayHaveStaleEntries(true, now);
    const bool reads = !m_published.hasConfiguration() || m_duty.shouldRead(m_directory, self, now)
        || now < m_stuckUntil || looksForCold;
    if (reads == std::exchange(m_reads, reads))
        return;
    m_readingChanged = now;
    m_revisions.setReads(reads);
    m_tellReading(reads);
}

SourceReachability PeerExchange::sourceContact() const
{
    const Instant now = m_loop.now();
    SourceReachability contact = m_directory.sourceReachability(ownBrief(), now);
    const SourceReachability ofFleet = m_duty.sourceReachability(now);
    contact.anyReachable |= ofFleet.anyReachable;
    contact.anyFailed |= ofFleet.anyFailed;
    return contact;
}

void PeerExchange::noteSource()
{
    m_published.noteSource(sourceContact());
}

void PeerExchange::noteOwnSource()
{
    noteSource();
    // Whoever is to read instead hears it at once, not with the next beacon.
    if (!m_published.hasLostSource())
        return;
    m_cell.sendBeacon();
    sendReaderNote();
}

void PeerExchange::sendReaderNote()
{
    const Instant now = m_loop.now();
    const MemberInfo self = ownBrief();
    // One that has just lost the source is no reader any more, and says so.
    const bool isReader = m_directory.isFleetReader(self, now) || self.hasLostSource;
    if (!m_reads || m_directory.cells() == 1 || !isReader)
        return;
    m_noted = now;
    send(m_directory.readersOfOtherCells(now), ReaderAnnouncement {self, ownRevision()});
}

void PeerExchange::noteRevision()
{
    // Those who follow a reader hear at once; what they pass on can wait for their next beacon.
    const bool isNews = std::exchange(m_lastTold, ownRevision()) != ownRevision();
    if (!isNews || (!m_reads && !m_isCellReader) || !std::exchange(m_revisionTold, false))
        return;
    m_loop.defer([this] {
        m_revisionTold = true;
        m_cell.sendBeacon();
        sendReaderNote();
    });
}

void PeerExchange::startLeaving()
{
    m_leaving = true;
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

MemberInfo PeerExchange::ownBrief() const
{
    // The members of its cell know no other way whether the source answers anybody.
    const bool followsReader = !m_reads && m_duty.reachableReaders(m_loop.now()) > 0;
    return {
        .member = m_settings.member,
        .process = m_process,
        .dataCentre = m_settings.dataCentre,
        .beaconAddress = m_settings.beaconAddress,
        .callerAddress = m_settings.callerAddress,
        .itemAddress = m_settings.controlAddress,
        .isReady = isReady(),
        .isLeaving = m_leaving,
        .reachesSource = m_published.reachesSource() || followsReader,
        .hasLostSource = m_published.hasLostSource(),
        .capacity = m_settings.capacity,
        .age = 0,
    };
}

std::uint64_t PeerExchange::ownRevision() const
{
    // What one that doesn't read heard at its start is no news, and its peers would ask it for
    // everything.
    const ItemReplica &replica = m_published.replica();
    return m_reads || m_isCellReader ? replica.advertisedRevision() : replica.relevantRevision();
}

void PeerExchange::receive(std::string_view bytes)
{
    m_metrics.controlBytes(Direction::Received, bytes.size());
    const Result<PeerDatagram, CodecError> datagram = parsePeerDatagram(bytes);
    // Datagrams may be cut or strangers'; the next whole one replaces what this one told.
    if (datagram)
        std::visit([this](const auto &message) { take(message); }, datagram.value());
}

void PeerExchange::take(const Heartbeat &beacon)
{
    m_directory.update(beacon.sender, m_loop.now());
    m_cell.take(beacon);
    // Before its items come: whether their removals are true depends on it.
    noteSource();
    if (beacon.sender.hasLostSource)
        reviewReading();
    m_revisions.note(beacon.sender, beacon.revision);
}

void PeerExchange::take(const ReaderAnnouncement &note)
{
    m_duty.recordAnnouncement(note, m_loop.now());
    m_directory.update(note.sender, m_loop.now());
    noteSource();
    if (note.sender.hasLostSource)
        reviewReading();
    m_revisions.note(note.sender, note.revision);
}

void PeerExchange::take(const CellSummary &summary)
{
    m_fleet.take(summary);
    if (!summary.members.empty())
        m_revisions.note(summary.members.front(), summary.revision);
}

} // namespace Apricothook
