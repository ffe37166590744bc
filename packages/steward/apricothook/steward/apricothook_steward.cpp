#include <apricothook/steward/apricothook_steward.hpp>

#include <apricothook/steward/apricothook_steward_event.hpp>
#include <apricothook/steward/internal/apricothook_service_floor.hpp>
#include <apricothook/steward/internal/apricothook_shard_ledger.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace Apricothook {

namespace {

/** Fixed expiry of prefix belief; docs/PLACEMENT.md has the comparison. */
constexpr Duration BeliefLife = std::chrono::seconds(120);

std::string textOf(const ShardId &id)
{
    return id.service.text() + "/" + id.region.text() + "/" + std::to_string(id.index);
}

Tier lowestTierOf(const FleetText &text)
{
    Tier lowest(1);
    for (const RequestClass &requestClass : text.classes)
        lowest = std::max(lowest, requestClass.tier);
    return lowest;
}

} // namespace

/** A ledger, and when its summary was last told to whom. */
struct Steward::Held
{
    Held(const ShardId &id, ShedGate &gate, const LedgerContext &context)
        : ledger(id, gate, context)
    {
    }
    ShardLedger ledger;
    std::map<MemberId, Instant> told;
};

/** The floor of a service, and until when each other steward is told of it. */
struct Steward::ServiceState
{
    ServiceState(const ServiceId &service, const StewardPolicy &policy) : floor(service, policy) { }
    ServiceFloor floor;
    std::map<MemberId, Instant> peers;
};

Steward::Steward(const MemberView &members, EventSink &events)
    : Steward(members, events, std::make_unique<FixedExpiry>(BeliefLife), StewardPolicy())
{
}

Steward::Steward(const MemberView &members, EventSink &events, std::unique_ptr<BeliefExpiry> expiry,
                 const StewardPolicy &policy)
    : m_members(members)
    , m_events(events)
    , m_expiry(std::move(expiry))
    , m_policy(policy)
    , m_context(std::make_unique<LedgerContext>(
          LedgerContext {m_policy, *m_expiry, m_members, m_events, m_weights}))
{
}

Steward::~Steward() = default;

// ---- The fleet.

void Steward::applyConfiguration(std::shared_ptr<const Configuration> configuration, Instant now,
                                 Outbox &out)
{
    m_configuration = std::move(configuration);
    const FleetText &text = m_configuration->text;
    m_map = std::make_unique<ShardMap>(text);
    m_lowestTier = lowestTierOf(text);
    m_weights.clear();
    for (const Customer &customer : text.customers)
        m_weights.emplace(customer.id, customer.weight);
    for (auto &[service, state] : m_services)
        state->floor.setLowestTier(m_lowestTier);
    for (auto &[id, held] : m_held) {
        const Shard *shard = m_map->find(id);
        if (!shard)
            continue;
        held->ledger.configure(*shard, m_lowestTier);
        held->ledger.setLeaving(m_leaving, now, out);
    }
    takeShards(now, out);
}

void Steward::setLeavingVms(const std::vector<VmId> &vms, Instant now, Outbox &out)
{
    m_leaving = std::set<VmId>(vms.begin(), vms.end());
    for (auto &[id, held] : m_held)
        held->ledger.setLeaving(m_leaving, now, out);
}

void Steward::membersChanged(Instant now, Outbox &out)
{
    if (!m_map)
        return;
    expectDeputies(now);
    takeShards(now, out);
    for (auto &[id, held] : m_held)
        held->ledger.membersChanged(now, out);
}

void Steward::takeShards(Instant now, Outbox &out)
{
    const MemberId &self = m_members.self().member;
    for (auto held = m_held.begin(); held != m_held.end();) {
        const bool isKept
            = m_map->find(held->first) && m_map->stewardOf(held->first, m_members) == self;
        if (isKept) {
            ++held;
            continue;
        }
        // What waits here isn't answered: its entry sees the same change and asks the new steward.
        const std::string waiting = std::to_string(held->second->ledger.waiting());
        m_events.record({static_cast<int>(StewardEvent::ShardLeft), RequestKey(),
                         "shard=" + textOf(held->first) + " waiting=" + waiting});
        held = m_held.erase(held);
    }
    for (const auto &[id, shard] : m_map->shards()) {
        if (!m_held.contains(id) && m_map->stewardOf(id, m_members) == self)
            take(shard, now);
    }
    for (auto &[service, state] : m_services) {
        updatePeers(service, *state, now);
        settle(service, now, out);
    }
}

void Steward::take(const Shard &shard, Instant now)
{
    ServiceState &state = stateOf(shard.id.service);
    updatePeers(shard.id.service, state, now);
    auto held = std::make_unique<Held>(shard.id, state.floor, *m_context);
    held->ledger.configure(shard, m_lowestTier);
    Outbox none;
    held->ledger.setLeaving(m_leaving, now, none);
    std::set<MemberId> reporters;
    for (const MemberUpdate &member : m_members.live())
        reporters.insert(member.instance.member);
    reporters.erase(m_members.self().member);
    held->ledger.startHandOver(std::move(reporters), !state.peers.empty(), now);
    m_held.emplace(shard.id, std::move(held));
    m_events.record(
        {static_cast<int>(StewardEvent::ShardTaken), RequestKey(), "shard=" + textOf(shard.id)});
}

Steward::ServiceState &Steward::stateOf(const ServiceId &service)
{
    std::unique_ptr<ServiceState> &state = m_services[service];
    if (!state) {
        state = std::make_unique<ServiceState>(service, m_policy);
        state->floor.setLowestTier(m_lowestTier);
    }
    return *state;
}

MemberState Steward::memberState(const MemberId &member) const
{
    const std::optional<MemberUpdate> update = m_members.find(member);
    return update ? update->state : MemberState::Dead;
}

/**
 * Others that suspected this daemon have asked the deputies of its shards, and go on until they
 * hear the refutation. The deputies must know of a floor before this steward sheds a tier, or they
 * would still serve lower ones.
 */
void Steward::expectDeputies(Instant now)
{
    const std::optional<MemberUpdate> self = m_members.find(m_members.self().member);
    if (!self || self->refutation == m_refutation)
        return;
    m_refutation = self->refutation;
    for (const auto &[id, held] : m_held)
        stateOf(id.service).peers[m_map->deputyOf(id, m_members)] = now + m_policy.stewardGrace;
}

void Steward::updatePeers(const ServiceId &service, ServiceState &state, Instant now)
{
    // A member whose view lags may serve as steward for a moment longer; it must hear the floor
    // too.
    for (auto &[member, until] : state.peers)
        until = std::min(until, now + m_policy.stewardGrace);
    for (const ShardId &shard : m_map->shardsOf(service))
        state.peers[m_map->stewardOf(shard, m_members)] = Instant::max();
    state.peers.erase(m_members.self().member);
    // A suspect may still serve those who haven't heard of the suspicion; it is waited for until
    // it is dead or has been heard.
    std::erase_if(state.peers, [&](const auto &peer) {
        const MemberState is = memberState(peer.first);
        return is == MemberState::Dead || (now >= peer.second && is != MemberState::Suspect);
    });
    std::vector<MemberId> peers;
    for (const auto &[member, until] : state.peers)
        peers.push_back(member);
    state.floor.setPeers(peers);
}

void Steward::tick(Instant now, Outbox &out)
{
    if (!m_map)
        return;
    for (auto &[id, held] : m_held)
        held->ledger.tick(now, out);
    for (auto &[service, state] : m_services) {
        const bool hasPassed = std::any_of(state->peers.begin(), state->peers.end(),
                                           [&](const auto &peer) { return now >= peer.second; });
        if (hasPassed)
            updatePeers(service, *state, now);
        settle(service, now, out);
    }
}

// ---- Messages.

ShardLedger *Steward::find(const ShardId &shard)
{
    const auto held = m_held.find(shard);
    return held == m_held.end() ? nullptr : &held->second->ledger;
}

void Steward::handle(const MemberId &from, const ReserveRequest &message, Instant now, Outbox &out)
{
    const auto held = m_held.find(message.shard);
    if (held == m_held.end()) {
        ReserveReply reply;
        reply.attempt = message.attempt;
        reply.shard = message.shard;
        reply.verdict = ReserveVerdict::NotSteward;
        out.push_back({from, reply});
        return;
    }
    held->second->ledger.handle(message, now, out);
    settle(message.shard.service, now, out);
    tellSummary(from, *held->second, now, out);
}

template <typename Message>
void Steward::forward(const Message &message, Instant now, Outbox &out)
{
    if (ShardLedger *ledger = find(message.shard))
        ledger->handle(message, now, out);
}

void Steward::handle(const MemberId &, const ReserveCancel &message, Instant now, Outbox &out)
{
    forward(message, now, out);
}

void Steward::handle(const MemberId &, const Release &message, Instant now, Outbox &out)
{
    forward(message, now, out);
}

void Steward::handle(const MemberId &, const InFlightReport &message, Instant now, Outbox &out)
{
    forward(message, now, out);
}

void Steward::handle(const MemberId &from, const FloorRaise &message, Instant now, Outbox &out)
{
    ServiceState &state = stateOf(message.service);
    const Tier before = state.floor.floor();
    const FloorAcknowledged reply = state.floor.raised(from, message, now);
    recordFloor(message.service, before, state.floor.floor());
    // The lower tiers are shut here before the acknowledgement goes out.
    settle(message.service, now, out);
    out.push_back({from, reply});
}

void Steward::handle(const MemberId &from, const FloorAcknowledged &message, Instant now,
                     Outbox &out)
{
    const auto state = m_services.find(message.service);
    if (state == m_services.end())
        return;
    state->second->floor.acknowledged(from, message, now);
    settle(message.service, now, out);
}

void Steward::loadReported(const LoadReport &report, Instant now)
{
    const std::optional<ShardId> shard = m_map ? m_map->shardOf(report.target) : std::nullopt;
    ShardLedger *ledger = shard ? find(*shard) : nullptr;
    if (ledger)
        ledger->loadReported(report, now);
}

void Steward::cacheEvents(const CacheEvents &events, Instant now)
{
    const std::optional<ShardId> shard = m_map ? m_map->shardOf(events.target) : std::nullopt;
    ShardLedger *ledger = shard ? find(*shard) : nullptr;
    if (ledger)
        ledger->cacheChanged(events, now);
}

// ---- Floors and summaries.

void Steward::settle(const ServiceId &service, Instant now, Outbox &out)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    ServiceFloor &floor = found->second->floor;
    const auto first = m_held.lower_bound(ShardId {service, RegionId(), 0});
    bool hasMoved = true;
    while (hasMoved) {
        const Tier before = floor.floor();
        hasMoved = floor.step(now, out);
        recordFloor(service, before, floor.floor());
        for (auto held = first; held != m_held.end() && held->first.service == service; ++held)
            held->second->ledger.settle(now, out);
    }
    floor.send(now, out);
}

void Steward::recordFloor(const ServiceId &service, Tier before, Tier after)
{
    if (before == after)
        return;
    const StewardEvent event
        = after.isAbove(before) ? StewardEvent::FloorRaised : StewardEvent::FloorFell;
    m_events.record({static_cast<int>(event), RequestKey(),
                     "service=" + service.text() + " floor=" + std::to_string(after.rank())});
}

void Steward::tellSummary(const MemberId &to, Held &held, Instant now, Outbox &out) const
{
    const auto [told, isNew] = held.told.try_emplace(to, now);
    if (!isNew && now - told->second < m_policy.summaryInterval)
        return;
    told->second = now;
    out.push_back({to, held.ledger.summary(now)});
}

std::vector<ShardId> Steward::shards() const
{
    std::vector<ShardId> ids;
    for (const auto &[id, held] : m_held)
        ids.push_back(id);
    return ids;
}

bool Steward::isInUse(const TargetId &target, const ModelId &model) const
{
    const std::optional<ShardId> shard = m_map ? m_map->shardOf(target) : std::nullopt;
    const auto held = shard ? m_held.find(*shard) : m_held.end();
    return held != m_held.end() && held->second->ledger.isInUse(target, model);
}

std::vector<ShardSnapshot> Steward::snapshot(Instant now) const
{
    std::vector<ShardSnapshot> snapshots;
    for (const auto &[id, held] : m_held)
        snapshots.push_back(held->ledger.snapshot(now));
    return snapshots;
}

} // namespace Apricothook
