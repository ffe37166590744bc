#include <apricothook/serving/apricothook_cell_exchange.hpp>

#include <apricothook/fleetview/apricothook_fleetview_event.hpp>

#include <utility>

namespace Apricothook {

namespace {

std::vector<TargetLoad> loadsOf(const CellReport &report)
{
    std::vector<TargetLoad> loads;
    for (const ReportedLoad &load : report.loads)
        loads.push_back({load.target, load.running});
    return loads;
}

std::vector<WaitingCount> waitingOf(const CellReport &report)
{
    std::vector<WaitingCount> counts;
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
    , m_mates(sender.ownBrief().member, sender.ownBrief().process)
{
}

CellExchange::~CellExchange()
{
    m_loop.cancel(m_change);
}

void CellExchange::tick()
{
    for (const MemberId &silent : m_mates.noteSilent(m_loop.now()))
        forget(silent);
    // The rates were those of another set of members.
    if (std::exchange(m_cells, m_directory.cells()) != m_directory.cells())
        m_rates = {};
    meterOwnUse();
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
        addresses.push_back(member->brief.beaconAddress);
    return addresses;
}

void CellExchange::sendBeacon()
{
    m_loop.cancel(m_change);
    m_changed = false;
    const Beacon beacon {m_sender.ownBrief(), m_sender.ownRevision(), ownReport(UseTold::All)};
    for (const ReportedUse &use : beacon.report.use)
        m_toldUse[use.customer] = use.admitted;
    m_sender.send(addresses(), beacon);
}

void CellExchange::sendReport()
{
    m_changed = false;
    m_sender.send(addresses(), ownReport(UseTold::Changed));
}

CellReport CellExchange::ownReport(UseTold told)
{
    const MemberBrief self = m_sender.ownBrief();
    CellReport report {
        .member = memberNumber(self.member),
        .process = self.process,
        .sequence = ++m_sequence,
        .loads = {},
        .waiting = {},
        .use = {},
    };
    for (const TargetLoad &load : m_gateway.targets().ownLoad())
        report.loads.push_back({load.target, load.running});
    for (const WaitingCount &count : m_gateway.dispatcher().ownWaiting())
        report.waiting.push_back(
            {count.service, count.rank.customer, count.rank.route, count.waiting});
    for (const CustomerUse &use : m_gateway.customers().ownUse()) {
        const auto before = m_toldUse.find(use.customer);
        const bool isTold = before != m_toldUse.end() && before->second == use.admitted;
        if (told == UseTold::All || !isTold)
            report.use.push_back({use.customer, use.admitted});
    }
    return report;
}

void CellExchange::take(const Beacon &beacon)
{
    const BeaconEffect effect = m_mates.take(beacon, m_loop.now());
    if (effect.isBack || effect.isNewProcess) {
        m_log.write(LogEvent(FleetviewEvent::MemberHeard)
                        .with("member", beacon.sender.member.text())
                        .with("process", beacon.sender.process.value()));
    }
    apply(memberNumber(beacon.sender.member), effect);
}

void CellExchange::take(const CellReport &report)
{
    apply(report.member, m_mates.take(report, m_loop.now()));
}

void CellExchange::apply(std::uint64_t member, const BeaconEffect &effect)
{
    const CellMate *mate = effect.isNews ? m_mates.find(member) : nullptr;
    if (!mate)
        return;
    m_gateway.targets().setLoadOfMember(member, loadsOf(mate->report));
    m_gateway.dispatcher().setWaitingOfMember(member, waitingOf(mate->report));
    // A member that counts fewer cells tells more daemons than its cell; what it admits is in its
    // cell's summary.
    const bool isOfCell = m_directory.cellOf(mate->brief.member) == m_directory.ownCell();
    for (const ReportedUse &use : effect.admitted) {
        if (!isOfCell)
            break;
        m_gateway.customers().addUseOfOthers(use.customer, static_cast<double>(use.admitted));
        m_rates.add(use.customer, use.admitted, m_loop.now());
    }
    if (m_gateway.dispatcher().waiting() > 0)
        m_gateway.reviewSoon();
}

void CellExchange::forget(const MemberId &member)
{
    const CellMate *mate = m_mates.find(member);
    m_log.write(LogEvent(FleetviewEvent::MemberSilent)
                    .with("member", member.text())
                    .with("leaving", mate && mate->brief.isLeaving));
    m_gateway.targets().setLoadOfMember(memberNumber(member), {});
    m_gateway.dispatcher().setWaitingOfMember(memberNumber(member), {});
}

void CellExchange::meterOwnUse()
{
    for (const CustomerUse &use : m_gateway.customers().ownUse()) {
        std::uint64_t &metered = m_meteredUse[use.customer];
        if (use.admitted > metered)
            m_rates.add(use.customer, use.admitted - std::exchange(metered, use.admitted),
                        m_loop.now());
    }
}

std::vector<CustomerRate> CellExchange::rates(std::size_t most)
{
    return m_rates.rates(most, m_loop.now());
}

std::vector<RecentUse> CellExchange::takeRecentUse()
{
    return m_rates.takeRecent(m_loop.now());
}

} // namespace Apricothook
