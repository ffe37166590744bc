#include <apricothook/core/apricothook_core.hpp>

#include <apricothook/core/apricothook_core_event.hpp>
#include <apricothook/core/internal/apricothook_configuration_applier.hpp>
#include <apricothook/core/internal/apricothook_core_parts.hpp>
#include <apricothook/core/internal/apricothook_drain_plan.hpp>
#include <apricothook/core/internal/apricothook_operator_documents.hpp>
#include <apricothook/core/internal/apricothook_peer_dispatcher.hpp>
#include <apricothook/core/internal/apricothook_target_poller.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

// The shortest period among the parts: stewards and limits look at their clocks this often.
constexpr Duration TickPeriod = std::chrono::milliseconds(50);
constexpr Duration LateTick = std::chrono::milliseconds(1000);
// A member that isn't in the view yet is answered at the address it wrote from.
constexpr std::size_t MaximumStrangers = 512;

} // namespace

/** The parts and what goes on between them in one turn. */
class Core::Turn : OrderContext
{
public:
    Turn(const CoreIdentity &identity, const CorePortsSet &ports, Instant now);

    void handle(CoreEvent &event, Instant now);
    void tick(Instant now);
    Instant nextDue() const;
    const CoreParts &parts() const { return m_parts; }
    const DrainPlan &drain() const { return m_drain; }

private:
    void take(CallerRequest &request, Instant now);
    void take(const CallerGone &gone, Instant now);
    void take(const KeyLookup &lookup, Instant now);
    void take(const EntriesLookup &lookup, Instant now);
    void take(const DispatchStarted &started, Instant now);
    void take(const DispatchEnded &ended, Instant now);
    void take(const EngineOrderEnded &ended, Instant now);
    void take(const LoadReport &report, Instant now);
    void take(const CacheEvents &events, Instant now);
    void take(const PeerArrived &arrived, Instant now);
    void take(const ConfigurationArrived &arrived, Instant now);
    void take(const ConfigurationRejected &rejected, Instant now);
    void take(const VmsArrived &arrived, Instant now);
    void take(const PlatformReachability &news, Instant now);
    void take(const KeptAnswerArrived &arrived, Instant now);
    void take(const OperatorAsked &asked, Instant now);
    void take(const KeptAnswerAsked &asked, Instant now);
    void take(const StopRequested &stop, Instant now);

    Duration lookupKeep() const;
    bool isMine(const TargetId &target) const override;
    bool isInUse(const TargetId &target, const ModelId &model) const override;
    void leave(Instant now);
    void advanceDrain(Instant now);
    void sendOrders(Instant now);
    void noticeMembers(Instant now);
    /** Performs and delivers all that the turn brought about, until nothing is left. */
    void settle(Instant now);
    void deliver(Outgoing &outgoing, Instant now);
    void send(const MemberId &to, const PeerMessage &message);
    void record(DaemonEvent event, std::string details);

    CoreParts m_parts;
    PeerDispatcher m_dispatcher;
    ConfigurationApplier m_applier;
    TargetPoller m_poller;
    DrainPlan m_drain;
    PeerDispatcher::Results m_results;
    std::unordered_map<MemberId, Endpoint> m_strangers;
    std::uint64_t m_viewVersion = 0;
    Instant m_lastTick {};
    bool m_wasReady = false;
};

Core::Turn::Turn(const CoreIdentity &identity, const CorePortsSet &ports, Instant now)
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

void Core::Turn::handle(CoreEvent &event, Instant now)
{
    m_parts.events.setNow(now);
    m_parts.homes.setNow(now);
    std::visit([this, now](auto &typed) { take(typed, now); }, event);
    settle(now);
}

void Core::Turn::tick(Instant now)
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

Instant Core::Turn::nextDue() const
{
    Instant next = m_lastTick + TickPeriod;
    for (const std::optional<Instant> &due : {m_parts.flow.nextDue(), m_drain.nextDue()}) {
        if (due)
            next = std::min(next, *due);
    }
    return next;
}

// ---- Events.

void Core::Turn::take(CallerRequest &request, Instant now)
{
    m_parts.flow.handle(std::move(request), now, m_results.outbox);
}

void Core::Turn::take(const CallerGone &gone, Instant now)
{
    m_parts.flow.handle(gone, now, m_results.outbox);
}

void Core::Turn::take(const KeyLookup &lookup, Instant now)
{
    m_parts.flow.handle(lookup, now, m_results.outbox);
}

void Core::Turn::take(const EntriesLookup &lookup, Instant now)
{
    const LookupAnswer answer = m_parts.lookup.answer(lookupKeep());
    // A ticket is used for as long as the answer is kept. One that is given while leaving would
    // outlive this process: keys made with it would have a home that is gone, and their requests
    // would be refused after a drain that cut nothing.
    const bool isLeaving = m_drain.stage() != DrainPlan::Stage::Serving;
    const std::string ticket = isLeaving ? std::string() : m_parts.issuer.issue(now);
    lookup.answer->begin({200, {{"Content-Type", "application/json"}}});
    lookup.answer->append(entriesDocument(answer, ticket));
    lookup.answer->finish();
}

void Core::Turn::take(const DispatchStarted &started, Instant now)
{
    m_parts.flow.handle(started, now);
}

void Core::Turn::take(const DispatchEnded &ended, Instant now)
{
    m_parts.flow.handle(ended, now, m_results.outbox);
}

void Core::Turn::take(const EngineOrderEnded &ended, Instant now)
{
    m_parts.orders.ended(ended, now);
}

void Core::Turn::take(const LoadReport &report, Instant now)
{
    if (m_poller.isBack(report))
        m_parts.orders.targetMayHaveRestarted(report.target);
    m_parts.steward.loadReported(report, now);
}

void Core::Turn::take(const CacheEvents &events, Instant now)
{
    m_poller.learn(events);
    m_parts.steward.cacheEvents(events, now);
}

void Core::Turn::take(const PeerArrived &arrived, Instant now)
{
    if (m_strangers.size() < MaximumStrangers || m_strangers.contains(arrived.from.member))
        m_strangers[arrived.from.member] = arrived.address;
    m_dispatcher.dispatch(arrived, now, m_results);
}

void Core::Turn::take(const ConfigurationArrived &arrived, Instant now)
{
    m_parts.keeper.arrived(arrived, now, m_results.configuration);
}

void Core::Turn::take(const ConfigurationRejected &rejected, Instant now)
{
    m_parts.keeper.rejected(rejected, now, m_results.configuration);
}

void Core::Turn::take(const VmsArrived &arrived, Instant)
{
    m_parts.keeper.vmsArrived(arrived.list, m_results.configuration);
}

void Core::Turn::take(const PlatformReachability &news, Instant now)
{
    m_parts.keeper.platformReachability(news, now, m_results.configuration);
}

void Core::Turn::take(const KeptAnswerArrived &arrived, Instant now)
{
    m_parts.flow.handle(arrived, now);
}

void Core::Turn::take(const OperatorAsked &asked, Instant now)
{
    asked.answer->set_value(asked.question == OperatorQuestion::Status
                                ? statusDocument(m_parts, now)
                                : explainDocument(m_parts.events, asked.key));
}

void Core::Turn::take(const KeptAnswerAsked &asked, Instant now)
{
    asked.answer->set_value(m_parts.answers.find(asked.key, now));
}

void Core::Turn::take(const StopRequested &, Instant now)
{
    leave(now);
}

Duration Core::Turn::lookupKeep() const
{
    const std::shared_ptr<const Configuration> &inForce = m_parts.keeper.inForce();
    return inForce ? inForce->text.policy.lookupKeep : Policy().lookupKeep;
}

// ---- Leaving.

void Core::Turn::leave(Instant now)
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

void Core::Turn::advanceDrain(Instant now)
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

bool Core::Turn::isMine(const TargetId &target) const
{
    const ShardMap *map = m_parts.steward.shardMap();
    const std::optional<ShardId> shard = map->shardOf(target);
    return shard && map->stewardOf(*shard, m_parts.members) == m_parts.members.self().member;
}

bool Core::Turn::isInUse(const TargetId &target, const ModelId &model) const
{
    return m_parts.steward.isInUse(target, model);
}

void Core::Turn::sendOrders(Instant now)
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

void Core::Turn::noticeMembers(Instant now)
{
    if (m_parts.members.version() == m_viewVersion)
        return;
    m_viewVersion = m_parts.members.version();
    m_parts.steward.membersChanged(now, m_results.outbox);
    m_parts.flow.membersChanged(now, m_results.outbox);
}

void Core::Turn::settle(Instant now)
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
        for (Outgoing &outgoing : outbox)
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

void Core::Turn::deliver(Outgoing &outgoing, Instant now)
{
    const MemberLife &self = m_parts.members.self();
    if (outgoing.to != self.member) {
        send(outgoing.to, outgoing.message);
        return;
    }
    const PeerArrived loop {self, m_parts.identity.settings.peerAddress,
                            std::move(outgoing.message)};
    m_dispatcher.dispatch(loop, now, m_results);
}

void Core::Turn::send(const MemberId &to, const PeerMessage &message)
{
    if (const std::optional<MemberUpdate> member = m_parts.members.find(to)) {
        m_parts.ports.peers.send(to, member->peerAddress, message);
        return;
    }
    const auto stranger = m_strangers.find(to);
    if (stranger != m_strangers.end())
        m_parts.ports.peers.send(to, stranger->second, message);
}

void Core::Turn::record(DaemonEvent event, std::string details)
{
    m_parts.events.record({static_cast<int>(event), RequestKey(), std::move(details)});
}

// ---- The public face.

Core::Core(const CoreIdentity &identity, const CorePortsSet &ports, Instant now)
    : m_turn(std::make_unique<Turn>(identity, ports, now))
{
}

Core::~Core() = default;

void Core::handle(CoreEvent event, Instant now)
{
    m_turn->handle(event, now);
}

void Core::tick(Instant now)
{
    m_turn->tick(now);
}

Instant Core::nextDue() const
{
    return m_turn->nextDue();
}

bool Core::isReady() const
{
    const DrainPlan::Stage stage = m_turn->drain().stage();
    const bool isServing = stage == DrainPlan::Stage::Serving || stage == DrainPlan::Stage::Leaving;
    return isServing && m_turn->parts().keeper.isReady();
}

bool Core::isDone() const
{
    return m_turn->drain().stage() == DrainPlan::Stage::Done;
}

Generation Core::generation() const
{
    return m_turn->parts().keeper.digest().generation;
}

const Policy &Core::policy() const
{
    static const Policy defaults;
    const std::shared_ptr<const Configuration> &inForce = m_turn->parts().keeper.inForce();
    return inForce ? inForce->text.policy : defaults;
}

std::size_t Core::activeExchanges() const
{
    return m_turn->parts().flow.activeExchanges();
}

} // namespace Apricothook
