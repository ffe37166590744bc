// What a shard's ledger does when reports come, time passes or the fleet changes; requests are in
// apricothook_shard_ledger.cpp.
#include <apricothook/steward/internal/apricothook_shard_ledger.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace Apricothook {

namespace {

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

void ShardLedger::configure(const Shard &shard, Tier lowestTier)
{
    m_placement.setLowestTier(lowestTier);
    m_placement.configure(shard);
    // Work on a target that left the shard is its new steward's to count.
    for (auto entry = m_reservations.begin(); entry != m_reservations.end();) {
        const std::optional<std::size_t> index = m_placement.indexOf(entry->second.target);
        if (index) {
            entry->second.index = *index;
            ++entry;
        } else {
            entry = m_reservations.erase(entry);
        }
    }
}

void ShardLedger::startHandOver(std::set<MemberId> reporters, bool hasPeers, Instant now)
{
    m_awaited = std::move(reporters);
    m_earliestReady = hasPeers ? now + m_context.policy.floorHold : now;
    m_readyAt = now + m_context.policy.handOver;
}

void ShardLedger::endHandOver()
{
    m_awaited.clear();
    record(StewardEvent::HandOverEnded, "running=" + std::to_string(m_reservations.size()));
}

void ShardLedger::handle(const InFlightReport &message, Instant now, Outbox &out)
{
    if (isDead(message.entry))
        return;
    for (const InFlight &running : message.running) {
        const auto known = m_reservations.find(running.attempt);
        if (known != m_reservations.end())
            known->second.leaseUntil = now + m_context.policy.reservationLease;
        else if (!m_ended.contains(running.attempt))
            adopt(running, now);
    }
    if (m_awaited.erase(message.entry.member) > 0 && m_awaited.empty())
        endHandOver();
    serve(now, out);
}

void ShardLedger::adopt(const InFlight &running, Instant now)
{
    const std::optional<std::size_t> index = m_placement.indexOf(running.target);
    if (!index)
        return;
    dropWaiting(running.attempt);
    TargetLedger &target = m_placement.at(*index);
    ReserveRequest request;
    request.promptTokens = running.promptTokens;
    request.outputTokens = running.outputTokens;
    Reservation reservation;
    reservation.target = running.target;
    reservation.model = running.model;
    reservation.index = *index;
    reservation.promptTokens = running.promptTokens;
    reservation.outputTokens = running.outputTokens;
    reservation.batch = target.running() + 1;
    reservation.reservedAt = now - running.age;
    reservation.leaseUntil = now + m_context.policy.reservationLease;
    reservation.prediction = target.predict(request, 0, now);
    target.add(reservation);
    target.belief().used(running.prefixes, reservation.prefillEnd(), now);
    m_reservations.emplace(running.attempt, reservation);
}

bool ShardLedger::isInUse(const TargetId &target, const ModelId &model) const
{
    return std::ranges::any_of(m_reservations, [&](const auto &entry) {
        return entry.second.target == target && entry.second.model == model;
    });
}

void ShardLedger::setLeaving(const std::set<VmId> &vms, Instant now, Outbox &out)
{
    for (TargetLedger &target : m_placement.targets())
        target.setLeaving(vms.contains(target.vm()));
    requeue(now, out);
    serve(now, out);
}

void ShardLedger::requeue(Instant now, Outbox &out)
{
    std::vector<WaitingRequest *> order;
    for (auto &[attempt, waiting] : m_waiting) {
        order.push_back(&waiting);
        queueOf(waiting.request.tier).remove(waiting);
    }
    std::sort(order.begin(), order.end(), [](const WaitingRequest *a, const WaitingRequest *b) {
        return a->arrived < b->arrived;
    });
    std::vector<AttemptId> stranded;
    for (WaitingRequest *waiting : order) {
        waiting->candidates = m_placement.candidates(waiting->request);
        queueOf(waiting->request.tier).push(*waiting, weightOf(waiting->request.customer));
        if (waiting->candidates == 0)
            stranded.push_back(waiting->request.attempt);
    }
    for (const AttemptId &attempt : stranded)
        refuse(ReserveRequest(m_waiting.at(attempt).request), ReserveVerdict::NoTarget, now, out);
}

void ShardLedger::loadReported(const LoadReport &report, Instant now)
{
    if (const std::optional<std::size_t> index = m_placement.indexOf(report.target))
        m_placement.at(*index).reported(report, now);
}

void ShardLedger::cacheChanged(const CacheEvents &events, Instant now)
{
    if (const std::optional<std::size_t> index = m_placement.indexOf(events.target))
        m_placement.at(*index).cacheChanged(events, now);
}

void ShardLedger::membersChanged(Instant now, Outbox &out)
{
    // Reservations of a dead entry stay until their lease ends: the target may still work on them.
    std::vector<AttemptId> orphans;
    for (const auto &[attempt, waiting] : m_waiting) {
        if (isDead(attempt.entry))
            orphans.push_back(attempt);
    }
    for (const AttemptId &attempt : orphans)
        dropWaiting(attempt);
    std::erase_if(m_awaited, [&](const MemberId &member) {
        const std::optional<MemberUpdate> update = m_context.members.find(member);
        return !update || update->state == MemberState::Dead;
    });
    serve(now, out);
}

void ShardLedger::tick(Instant now, Outbox &out)
{
    if (!m_awaited.empty() && now >= m_readyAt)
        endHandOver();
    m_ended.forgetOld(now);
    checkReservations(now);
    checkWaiting(now, out);
    serve(now, out);
}

void ShardLedger::checkReservations(Instant now)
{
    std::vector<AttemptId> lapsed;
    for (const auto &[attempt, reservation] : m_reservations) {
        if (now >= reservation.leaseUntil) {
            lapsed.push_back(attempt);
            continue;
        }
        TargetLedger &target = m_placement.at(reservation.index);
        if (target.checkOverdue(reservation, now))
            record(StewardEvent::TargetStraggles,
                   "target=" + target.id().text()
                       + " factor=" + std::to_string(target.factor(now)));
    }
    // An entry that died can't release what it held. Without the lease its slots would be lost to
    // everybody for good; if it was only paused, two run in one slot for a while.
    for (const AttemptId &attempt : lapsed)
        free(m_reservations.find(attempt), now);
    if (!lapsed.empty())
        record(StewardEvent::LeasesLapsed, "count=" + std::to_string(lapsed.size()));
}

void ShardLedger::checkWaiting(Instant now, Outbox &out)
{
    std::vector<AttemptId> attempts;
    for (const auto &[attempt, waiting] : m_waiting) {
        const auto slack
            = std::chrono::duration_cast<Duration>(waiting.latestStart - waiting.arrived);
        if (waiting.isDoomed
            || now >= waiting.arrived + scaled(slack, m_context.policy.pressureShare))
            attempts.push_back(attempt);
    }
    for (const AttemptId &attempt : attempts)
        checkOne(m_waiting.at(attempt), now, out);
}

void ShardLedger::checkOne(WaitingRequest &request, Instant now, Outbox &out)
{
    const Tier tier = request.request.tier;
    if (now < request.latestStart) {
        m_gate.press(tier, now);
        return;
    }
    // The lower tiers may still be served somewhere, so this can't be called shed. But no target
    // could finish in time any more, and to start now would only waste its prefill.
    const bool isShed = m_gate.mayShed(tier, now);
    const ReserveVerdict verdict = isShed ? ReserveVerdict::Shed : ReserveVerdict::PatienceOver;
    if (!isShed)
        m_gate.press(tier, now);
    refuse(ReserveRequest(request.request), verdict, now, out);
}

Duration ShardLedger::timeToAdmit(Tier tier) const
{
    // A shut tier opens after one calm time for each step of the floor down to it. The queue alone
    // would say "at once", as what was shed doesn't stand in it, and all would be refused again.
    const Tier floor = m_gate.floor();
    return tier > floor ? m_context.policy.floorCalm * (tier.rank() - floor.rank()) : Duration();
}

ShardSummary ShardLedger::summary(Instant now) const
{
    ShardSummary summary;
    summary.shard = m_id;
    summary.freeSlots = m_placement.freeSlots(m_placement.open(room(now), now), room(now), now);
    summary.queued = static_cast<std::uint32_t>(m_waiting.size());
    const bool isFree = summary.freeSlots > 0 && m_waiting.empty();
    summary.wait = isFree ? Duration() : expectedWait(Tier(LowestTierRank), CustomerId(), now);
    summary.floor = m_gate.floor();
    return summary;
}

ShardSnapshot ShardLedger::snapshot(Instant now) const
{
    ShardSnapshot snapshot;
    snapshot.shard = m_id;
    snapshot.floor = m_gate.floor();
    snapshot.isReady = isReady(now);
    for (std::size_t rank = 1; rank <= LowestTierRank; ++rank)
        snapshot.queued.push_back(static_cast<std::uint32_t>(m_queues[rank].size()));
    for (const TargetLedger &target : m_placement.targets())
        snapshot.targets.push_back(target.snapshot(m_context.members.visibleShare(), now));
    return snapshot;
}

} // namespace Apricothook
