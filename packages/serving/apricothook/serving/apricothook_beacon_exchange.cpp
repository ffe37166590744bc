#include <apricothook/serving/apricothook_beacon_exchange.hpp>

#include <apricothook/fleetview/apricothook_fleetview_event.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <utility>

namespace Apricothook {

namespace {

/** Addresses of others in a beacon; with more members each daemon hears of all from several. */
constexpr std::size_t MostOthers = 32;

std::uint64_t memberNumber(const MemberId &member)
{
    return hashOf(member.text());
}

std::vector<TargetLoad> loadsOf(const Beacon &beacon)
{
    std::vector<TargetLoad> loads;
    for (const BeaconLoad &load : beacon.loads)
        loads.push_back({load.target, load.running});
    return loads;
}

std::vector<WaitingCount> waitingOf(const Beacon &beacon)
{
    std::vector<WaitingCount> counts;
    for (const BeaconWaiting &waiting : beacon.waiting)
        counts.push_back(
            {waiting.service, {waiting.customerTier, waiting.routeTier}, waiting.waiting});
    return counts;
}

} // namespace

BeaconExchange::BeaconExchange(EventLoop &loop, const ServingSettings &settings,
                               Incarnation incarnation, Gateway &gateway, PublishedState &published,
                               LogWriter &log)
    : m_loop(loop)
    , m_settings(settings)
    , m_incarnation(incarnation)
    , m_gateway(gateway)
    , m_published(published)
    , m_log(log)
    , m_members(settings.member, settings.beaconAddress, settings.seeds)
    , m_fetcher([this, alive = std::weak_ptr(m_alive)](ItemUpdate update) {
        m_loop.post([this, alive, update = std::move(update)] {
            if (!alive.expired())
                m_published.apply(update);
        });
    })
{
}

BeaconExchange::~BeaconExchange()
{
    m_loop.cancel(m_tick);
    m_loop.cancel(m_change);
}

Result<void, ListenError> BeaconExchange::start()
{
    Result<std::unique_ptr<DatagramSocket>, ListenError> socket = DatagramSocket::open(
        m_loop, m_settings.beaconAddress, [this](std::string_view bytes) { receive(bytes); });
    if (!socket)
        return socket.error();
    m_socket = std::move(socket).value();
    tick();
    return Outcomes::success();
}

void BeaconExchange::tick()
{
    for (const MemberId &silent : m_members.noteSilent(m_loop.now()))
        forget(silent);
    m_gateway.setMembers(m_members.heardCount(), m_members.knownCount(m_loop.now()));
    send();
    m_tick = m_loop.after(IdlePause, [this] { tick(); });
}

void BeaconExchange::noteChange()
{
    if (std::exchange(m_changed, true))
        return;
    m_change = m_loop.after(ChangePause, [this] { send(); });
}

void BeaconExchange::startLeaving()
{
    m_leaving = true;
    send();
}

void BeaconExchange::send()
{
    m_loop.cancel(m_change);
    m_changed = false;
    ++m_sequence;
    const std::string bytes = writeBeacon(ownBeacon());
    for (const Endpoint &address : m_members.addresses(m_loop.now()))
        m_socket->send(address, bytes);
}

Beacon BeaconExchange::ownBeacon() const
{
    Beacon beacon {
        .member = m_settings.member,
        .incarnation = m_incarnation,
        .sequence = m_sequence,
        .isReady = isReady(),
        .isLeaving = m_leaving,
        .dataCentre = m_settings.dataCentre,
        .beaconAddress = m_settings.beaconAddress,
        .callerAddress = m_settings.callerAddress,
        .itemAddress = m_settings.controlAddress,
        .revision = m_published.replica().revision(),
        .loads = {},
        .waiting = {},
        .use = {},
        .others = {},
    };
    for (const TargetLoad &load : m_gateway.targets().ownLoad())
        beacon.loads.push_back({load.target, load.running});
    for (const WaitingCount &count : m_gateway.dispatcher().ownWaiting())
        beacon.waiting.push_back(
            {count.service, count.rank.customer, count.rank.route, count.waiting});
    for (const CustomerUse &use : m_gateway.customers().ownUse())
        beacon.use.push_back({use.customer, use.admitted});
    for (const Member *member : m_members.heard()) {
        if (beacon.others.size() < MostOthers)
            beacon.others.push_back(member->last.beaconAddress);
    }
    return beacon;
}

void BeaconExchange::receive(std::string_view bytes)
{
    const Result<Beacon, CodecError> beacon = parseBeacon(bytes);
    // Datagrams may be cut or strangers'; the next whole one replaces what this one told.
    if (!beacon)
        return;
    const BeaconEffect effect = m_members.take(beacon.value(), m_loop.now());
    if (effect.isNews)
        applyToGateway(beacon.value(), effect);
}

void BeaconExchange::applyToGateway(const Beacon &beacon, const BeaconEffect &effect)
{
    if (effect.isBack || effect.isNewProcess) {
        m_log.write(LogEvent(FleetviewEvent::MemberHeard)
                        .with("member", beacon.member.text())
                        .with("process", beacon.incarnation.value()));
    }
    const std::uint64_t number = memberNumber(beacon.member);
    m_gateway.targets().setLoadOfMember(number, loadsOf(beacon));
    m_gateway.dispatcher().setWaitingOfMember(number, waitingOf(beacon));
    for (const BeaconUse &use : effect.admitted)
        m_gateway.customers().addUseOfOthers(use.customer, static_cast<double>(use.admitted));
    if (m_gateway.dispatcher().waiting() > 0)
        m_gateway.reviewSoon();
    noteRevision(beacon);
}

void BeaconExchange::forget(const MemberId &member)
{
    const auto found = m_members.members().find(member);
    m_log.write(
        LogEvent(FleetviewEvent::MemberSilent)
            .with("member", member.text())
            .with("leaving", found != m_members.members().end() && found->second.last.isLeaving));
    m_gateway.targets().setLoadOfMember(memberNumber(member), {});
    m_gateway.dispatcher().setWaitingOfMember(memberNumber(member), {});
}

void BeaconExchange::noteRevision(const Beacon &beacon)
{
    const Revision own = m_published.replica().revision();
    if (own >= m_laterRevision)
        m_behindSince.reset();
    if (beacon.revision <= own)
        return;
    const Instant now = m_loop.now();
    if (!m_behindSince) {
        m_behindSince = now;
        m_laterRevision = beacon.revision;
    }
    if (now - *m_behindSince < OwnSourceTime)
        return;
    if (!m_fetcher.fetch(beacon.itemAddress, own))
        return;
    m_log.write(LogEvent(FleetviewEvent::ItemsFromPeer)
                    .with("peer", beacon.member.text())
                    .with("own_revision", own)
                    .with("peer_revision", beacon.revision));
}

} // namespace Apricothook
