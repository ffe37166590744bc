#include <apricothook/serving/apricothook_cell_exchange.hpp>

#include <apricothook/fleetview/apricothook_fleetview_event.hpp>

#include <utility>

namespace Apricothook {

namespace {

std::vector<TargetLoad> loadsOf(const CellLoadReport &report)
{
    std::vector<TargetLoad> loads;
    for (const ReportedLoad &load : report.loads)
        loads.push_back({load.target, load.running});
    return loads;
}

std::vector<QueueLength> waitingOf(const CellLoadReport &report)
{
    std::vector<QueueLength> counts;
    for (const ReportedWaiting &waiting : report.waiting)
        counts.push_back(
            {waiting.service, {waiting.customerTier, waiting.routeTier}, waiting.waiting});
    return counts;
}

} // namespace

CellExchange::CellExchange(EventLoop &loop, const FleetDirectory &directory, PeerSender &sender,
                           Gateway &gateway, LogWriter &log)
    : m_loop(loop)
    , m_directory(directory)
    , m_sender(sender)
    , m_gateway(gateway)
    , m_log(log)
    , m_mates(sender.ownBrief().member)
{
}

CellExchange::~CellExchange()
{
    m_loop.cancel(m_change);
}

void CellExchange::tick()
{
    for (const MemberId &silent : m_mates.markSilent(m_loop.now()))
        forget(silent);
    sendBeacon();
}

void CellExchange::noteChange()
{
    if (std::exchange(m_changed, true))
        return;
    m_change = m_loop.after(ChangePause, [this] { sendReport(); });
}

std::vector<Endpoint> CellExchange::addresses() const
{
    std::vector<Endpoint> addresses;
    for (const KnownMember *member : m_directory.membersOfCell(m_directory.ownCell()))
        addresses.push_back(member->info.beaconAddress);
    return addresses;
}

void CellExchange::sendBeacon()
{
    m_loop.cancel(m_change);
    m_changed = false;
    m_sender.send(addresses(),
                  Heartbeat {m_sender.ownBrief(), m_sender.ownRevision(), ownReport()});
}

void CellExchange::sendReport()
{
    m_changed = false;
    m_sender.send(addresses(), ownReport());
}

CellLoadReport CellExchange::ownReport()
{
    const MemberInfo self = m_sender.ownBrief();
    CellLoadReport report {
        .member = memberHash(self.member),
        .process = self.process,
        .sequence = ++m_sequence,
        .loads = {},
        .waiting = {},
    };
    for (const TargetLoad &load : m_gateway.targets().ownLoad())
        report.loads.push_back({load.target, load.running});
    for (const QueueLength &count : m_gateway.dispatcher().ownQueueLengths())
        report.waiting.push_back(
            {count.service, count.rank.customer, count.rank.route, count.waiting});
    return report;
}

void CellExchange::take(const Heartbeat &beacon)
{
    const HeartbeatChange effect = m_mates.apply(beacon, m_loop.now());
    if (effect.hasReturned || effect.isNewProcess) {
        m_log.write(LogEvent(FleetviewEvent::MemberHeard)
                        .with("member", beacon.sender.member.text())
                        .with("process", beacon.sender.process.value()));
    }
    apply(memberHash(beacon.sender.member), effect);
}

void CellExchange::take(const CellLoadReport &report)
{
    apply(report.member, m_mates.apply(report, m_loop.now()));
}

void CellExchange::apply(std::uint64_t member, const HeartbeatChange &effect)
{
    const CellPeer *mate = effect.isNewer ? m_mates.find(member) : nullptr;
    if (!mate)
        return;
    m_gateway.targets().setMemberLoad(member, loadsOf(mate->report));
    m_gateway.dispatcher().setMemberQueueLengths(member, waitingOf(mate->report));
    if (m_gateway.dispatcher().waiting() > 0)
        m_gateway.scheduleReview();
}

void CellExchange::forget(const MemberId &member)
{
    const CellPeer *mate = m_mates.find(member);
    m_log.write(LogEvent(FleetviewEvent::MemberSilent)
                    .with("member", member.text())
                    .with("leaving", mate && mate->info.isLeaving));
    m_gateway.targets().setMemberLoad(memberHash(member), {});
    m_gateway.dispatcher().setMemberQueueLengths(memberHash(member), {});
}

} // namespace Apricothook
