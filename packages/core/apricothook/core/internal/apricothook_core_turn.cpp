#include <apricothook/core/internal/apricothook_core_turn.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

// The shortest period among the parts: stewards and limits look at their clocks this often.
constexpr Duration TickPeriod = std::chrono::milliseconds(50);
constexpr Duration LateTick = std::chrono::milliseconds(1000);

} // namespace

CoreTurn::CoreTurn(const CoreIdentity &identity, const CorePortsSet &ports, Instant now)
    : m_parts(identity, ports, now)
    , m_dispatcher(m_parts)
    , m_applier(m_parts)
    , m_poller(m_parts.steward, ports.targets)
    , m_lastTick(now)
{
    m_parts.events.setNow(now);
    record(DaemonEvent::Started,
           "member=" + identity.settings.id.text()
               + " incarnation=" + std::to_string(identity.incarnation.value()));
    m_parts.members.start(identity.settings.seeds, now, m_results.mail);
    m_parts.keeper.tick(now, m_results.configuration);
    settle(now);
}

void CoreTurn::handle(CoreEvent &event, Instant now)
{
    m_parts.events.setNow(now);
    m_parts.homes.setNow(now);
    std::visit([this, now](auto &typed) { take(typed, now); }, event);
    settle(now);
}

void CoreTurn::tick(Instant now)
{
    m_parts.events.setNow(now);
    m_parts.homes.setNow(now);
    if (now - m_lastTick > LateTick)
        record(DaemonEvent::CoreLate,
               "milliseconds=" + std::to_string((now - m_lastTick).count() / 1000));
    m_lastTick = now;
    m_parts.members.setLoad(static_cast<std::uint32_t>(m_parts.flow.activeExchanges()));
    m_parts.members.tick(now, m_results.mail);
    m_parts.keeper.tick(now, m_results.configuration);
    m_parts.steward.tick(now, m_results.outbox);
    m_parts.limits.tick(now, m_results.outbox);
    m_parts.flow.tick(now, m_results.outbox);
    m_parts.keyHome.expire(now);
    m_parts.keptAnswers.expire(now);
    if (m_parts.keeper.isReady()) {
        m_poller.tick(m_parts.keeper.inForce()->text, now);
        sendOrders(now);
    }
    advanceDrain(now);
    settle(now);
}

Instant CoreTurn::nextDue() const
{
    Instant next = m_lastTick + TickPeriod;
    for (const std::optional<Instant> &due : {m_parts.flow.nextDue(), m_drain.nextDue()}) {
        if (due)
            next = std::min(next, *due);
    }
    return next;
}

// ---- Leaving.

void CoreTurn::leave(Instant now)
{
    if (m_drain.stage() != DrainPlan::Stage::Serving)
        return;
    const Duration keep = m_parts.keeper.isReady()
        ? m_parts.keeper.inForce()->text.policy.lookupKeep
        : Duration::zero();
    m_drain.begin(now, m_parts.keeper.isReady() ? drainWaitFor(keep) : Duration::zero());
    m_parts.members.leave(now, m_results.mail);
    record(DaemonEvent::LeaveBegan, "");
}

void CoreTurn::advanceDrain(Instant now)
{
    if (m_parts.members.isObsolete() && m_drain.stage() == DrainPlan::Stage::Serving) {
        record(DaemonEvent::Obsolete, "");
        leave(now);
    }
    const std::size_t open = m_parts.flow.activeExchanges() + m_parts.flow.pendingReports();
    if (!m_drain.advance(now, open))
        return;
    if (m_drain.stage() == DrainPlan::Stage::Closed) {
        m_parts.flow.close();
        record(DaemonEvent::EntryClosed, "open=" + std::to_string(open));
    } else {
        m_parts.members.finish(now, m_results.mail);
        record(DaemonEvent::Drained, "");
    }
}

// ---- Orders to engines.

bool CoreTurn::isMine(const TargetId &target) const
{
    const ShardMap *map = m_parts.steward.shardMap();
    const std::optional<ShardId> shard = map->shardOf(target);
    return shard && map->stewardOf(*shard, m_parts.members) == m_parts.members.self().member;
}

bool CoreTurn::isInUse(const TargetId &target, const ModelId &model) const
{
    return m_parts.steward.isInUse(target, model);
}

void CoreTurn::sendOrders(Instant now)
{
    std::vector<EngineOrder> orders;
    m_parts.orders.tick(now, *this, m_results.outbox, orders);
    for (EngineOrder &order : orders) {
        const std::uint64_t id = order.id;
        const TargetId target = order.target;
        if (!m_parts.ports.targets.order(std::move(order)))
            m_parts.orders.ended({id, target, 0}, now);
    }
}

// ---- Delivery.

void CoreTurn::noticeMembers(Instant now)
{
    if (m_parts.members.version() == m_viewVersion)
        return;
    m_viewVersion = m_parts.members.version();
    m_parts.steward.membersChanged(now, m_results.outbox);
    m_parts.flow.membersChanged(now, m_results.outbox);
}

void CoreTurn::settle(Instant now)
{
    noticeMembers(now);
    ConfigurationOutput &configuration = m_results.configuration;
    while (!m_results.outbox.empty() || !configuration.actions.empty()
           || !configuration.outbox.empty()) {
        Outbox outbox = std::move(m_results.outbox);
        m_results.outbox.clear();
        std::ranges::move(configuration.outbox, std::back_inserter(outbox));
        configuration.outbox.clear();
        const std::vector<ConfigurationAction> actions = std::move(configuration.actions);
        configuration.actions.clear();
        for (const ConfigurationAction &action : actions)
            m_applier.perform(action, now, m_results.outbox);
        for (OutgoingMessage &outgoing : outbox)
            deliver(outgoing, now);
        noticeMembers(now);
    }
    for (const Addressed &mail : m_results.mail)
        m_parts.ports.peers.send(mail.to, mail.address, mail.message);
    m_results.mail.clear();
    m_parts.ports.peers.flush();
    if (!m_wasReady && m_parts.keeper.isReady()) {
        m_wasReady = true;
        record(DaemonEvent::Ready,
               "generation=" + std::to_string(m_parts.keeper.digest().generation.value()));
    }
}

void CoreTurn::deliver(OutgoingMessage &outgoing, Instant now)
{
    const MemberInstance &self = m_parts.members.self();
    if (outgoing.to != self.member) {
        send(outgoing.to, outgoing.message);
        return;
    }
    const PeerMessageReceived loop {self, m_parts.identity.settings.peerAddress,
                                    std::move(outgoing.message)};
    m_dispatcher.dispatch(loop, now, m_results);
}

void CoreTurn::send(const MemberId &to, const PeerMessage &message)
{
    if (const std::optional<MemberUpdate> member = m_parts.members.find(to)) {
        m_parts.ports.peers.send(to, member->peerAddress, message);
        return;
    }
    const auto stranger = m_strangers.find(to);
    if (stranger != m_strangers.end())
        m_parts.ports.peers.send(to, stranger->second, message);
}

void CoreTurn::record(DaemonEvent event, std::string details)
{
    m_parts.events.record({static_cast<int>(event), RequestKey(), std::move(details)});
}

} // namespace Apricothook
