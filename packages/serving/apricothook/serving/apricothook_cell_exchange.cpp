#include <apricothook/serving/apricothook_cell_exchange.hpp>

#include <apricothook/fleetview/apricothook_fleetview_event.hpp>

#include <utility>

namespace Apricothook {

namespace {

std::vector<TargetLoad> loadsOf(const CellLoadReport &report)
{
    std::vector<TargetLoad> loads;
    for (const ReportedLoad &load : report.loads)
        loads.push_back({load.target, load.running, load.unreadTokens});
    return loads;
}

std::vector<QueueLength> queueLengthsOf(const CellLoadReport &report)
{
    std::vector<QueueLength> lengths;
    for (const ReportedWaiting &waiting : report.waiting)
        lengths.push_back(
            {waiting.service, {waiting.customerTier, waiting.routeTier}, waiting.waiting});
    return lengths;
}

} // namespace

CellExchange::CellExchange(EventLoop &loop, const FleetDirectory &directory, PeerSender &sender,
                           Gateway &gateway, LogWriter &log)
    : m_loop(loop)
    , m_directory(directory)
    , m_sender(sender)
    , m_gateway(gateway)
    , m_log(log)
    , m_peers(sender.ownInfo().member)
{
}

CellExchange::~CellExchange()
{
    m_loop.cancel(m_reportTimer);
}

void CellExchange::tick()
{
    for (const MemberId &silent : m_peers.markSilent(m_loop.now()))
        clearLoad(silent);
    sendHeartbeat();
}

void CellExchange::scheduleReport()
{
    if (std::exchange(m_reportPending, true))
        return;
    m_reportTimer = m_loop.after(ReportDelay, [this] { sendReport(); });
}

std::vector<Endpoint> CellExchange::addresses() const
{
    std::vector<Endpoint> addresses;
    for (const KnownMember *member : m_directory.membersOfCell(m_directory.ownCell()))
        addresses.push_back(member->info.peerAddress);
    return addresses;
}

void CellExchange::sendHeartbeat()
{
    m_loop.cancel(m_reportTimer);
    m_reportPending = false;
    m_sender.send(
        addresses(),
        Heartbeat {m_sender.ownInfo(), m_sender.ownRevision(), ownReport(), m_sender.ownView()});
}

void CellExchange::sendReport()
{
    m_reportPending = false;
    m_sender.send(addresses(), ownReport());
}

CellLoadReport CellExchange::ownReport()
{
    const MemberInfo self = m_sender.ownInfo();
    CellLoadReport report {
        .member = memberHash(self.member),
        .process = self.process,
        .sequence = ++m_sequence,
        .loads = {},
        .waiting = {},
    };
    for (const TargetLoad &load : m_gateway.targets().ownLoad())
        report.loads.push_back({load.target, load.running, load.unreadTokens});
    for (const QueueLength &length : m_gateway.dispatcher().ownQueueLengths())
        report.waiting.push_back(
            {length.service, length.rank.customer, length.rank.route, length.waiting});
    m_gateway.targets().recordReport(m_loop.now());
    return report;
}

void CellExchange::take(const Heartbeat &heartbeat)
{
    const HeartbeatChange change = m_peers.apply(heartbeat, m_loop.now());
    if (change.hasReturned || change.isNewProcess) {
        m_log.write(LogEvent(FleetviewEvent::MemberHeard)
                        .with("member", heartbeat.sender.member.text())
                        .with("process", heartbeat.sender.process.value()));
    }
    apply(memberHash(heartbeat.sender.member), change);
}

void CellExchange::take(const CellLoadReport &report)
{
    apply(report.member, m_peers.apply(report, m_loop.now()));
}

void CellExchange::apply(std::uint64_t member, const HeartbeatChange &change)
{
    const CellPeer *peer = change.isNewer ? m_peers.find(member) : nullptr;
    if (!peer)
        return;
    m_gateway.targets().setMemberLoad(member, loadsOf(peer->report), m_loop.now());
    m_gateway.dispatcher().setMemberQueueLengths(member, queueLengthsOf(peer->report));
    if (m_gateway.dispatcher().waiting() > 0)
        m_gateway.scheduleReview();
}

void CellExchange::clearLoad(const MemberId &member)
{
    const CellPeer *peer = m_peers.find(member);
    m_log.write(LogEvent(FleetviewEvent::MemberSilent)
                    .with("member", member.text())
                    .with("leaving", peer && peer->info.isLeaving));
    m_gateway.targets().setMemberLoad(memberHash(member), {}, m_loop.now());
    m_gateway.dispatcher().setMemberQueueLengths(memberHash(member), {});
}

} // namespace Apricothook
