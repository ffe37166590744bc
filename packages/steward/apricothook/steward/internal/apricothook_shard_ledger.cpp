#include <apricothook/steward/internal/apricothook_shard_ledger.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace Apricothook {

namespace {

/** A wait is predicted from means; only one beyond the slack by this factor counts as a miss. */
constexpr double DoomMargin = 1.5;
/** A prompt that would lose less than one in so many of its tokens fits well. */
constexpr std::uint32_t LeastLossShare = 8;
constexpr double SlotTimeWeight = 0.1;
constexpr Duration FirstSlotTime = std::chrono::seconds(1);
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(500);

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

Duration between(Instant from, Instant to)
{
    return to > from ? std::chrono::duration_cast<Duration>(to - from) : Duration();
}

} // namespace

ShardLedger::ShardLedger(const ShardId &id, ShedGate &gate, const LedgerContext &context)
    : m_id(id)
    , m_gate(gate)
    , m_context(context)
    , m_placement(context.policy, context.expiry)
    , m_ended(context.policy)
    , m_slotTime(FirstSlotTime)
{
}

// ---- Requests.

void ShardLedger::handle(const ReserveRequest &request, Instant now, Outbox &out)
{
    if (isDead(request.attempt.entry) || repeat(request, now, out))
        return;
    if (request.tier > m_gate.floor()) {
        refuse(request, ReserveVerdict::Shed, now, out);
        return;
    }
    admit(request, now, out);
}

bool ShardLedger::repeat(const ReserveRequest &request, Instant now, Outbox &out)
{
    const AttemptId &attempt = request.attempt;
    if (m_ended.contains(attempt)) {
        if (const ReserveReply *refusal = m_ended.refusal(attempt))
            out.push_back({attempt.entry.member, *refusal});
        return true;
    }
    const auto reserved = m_reservations.find(attempt);
    if (reserved != m_reservations.end()) {
        reserved->second.leaseUntil = now + m_context.policy.reservationLease;
        reply(attempt, reserved->second, now, out);
        return true;
    }
    if (!m_waiting.contains(attempt))
        return false;
    answer(attempt, ReserveVerdict::Queued, now, out);
    return true;
}

void ShardLedger::admit(const ReserveRequest &request, Instant now, Outbox &out)
{
    WaitingRequest waiting = describe(request, now);
    if (waiting.candidates == 0) {
        refuse(request, ReserveVerdict::NoTarget, now, out);
        return;
    }
    const Duration idle = m_placement.idleTime(request, waiting.candidates, true, now);
    // Nothing is placed beyond the margin. Such a request would wait in vain, press on the floor
    // and have the lower tiers shut for something that more room can't help.
    if (idle > scaled(request.patienceLeft, m_context.policy.patienceMargin)) {
        refuse(request, ReserveVerdict::PatienceTooShort, now, out);
        return;
    }
    if (!waiting.isLong)
        m_shortSeenAt = now;
    if (placeAtOnce(waiting, now, out))
        return;
    const Duration wait = expectedWait(request.tier, request.customer, now);
    if (!request.isLastResort && wait > m_context.policy.shortWait) {
        // Not remembered: the entry may come back with the same attempt as its last resort.
        answer(request.attempt, ReserveVerdict::Elsewhere, now, out);
        return;
    }
    enqueue(std::move(waiting), now, out);
}

WaitingRequest ShardLedger::describe(const ReserveRequest &request, Instant now) const
{
    WaitingRequest waiting;
    waiting.request = request;
    waiting.candidates = m_placement.candidates(request);
    waiting.arrived = now;
    waiting.deadline = now + request.patienceLeft;
    waiting.cost = static_cast<double>(request.promptTokens) + request.outputTokens + 1;
    if (waiting.candidates == 0)
        return waiting;
    waiting.slotTime = m_placement.idleTime(request, waiting.candidates, false, now);
    waiting.latestStart
        = waiting.deadline - scaled(waiting.slotTime, 1 / m_context.policy.patienceMargin);
    waiting.isLong = m_placement.isLong(request, waiting.candidates, now);
    return waiting;
}

bool ShardLedger::placeAtOnce(const WaitingRequest &request, Instant now, Outbox &out)
{
    const Tier tier = request.request.tier;
    const TargetMask waitedFor = waitedForAbove(tier) | queueOf(tier).candidates();
    const TargetMask mask = request.candidates & ~waitedFor;
    if (mask == 0 || (!isReady(now) && tier.rank() > 1))
        return false;
    const std::optional<Choice> choice
        = m_placement.choose(request.request, mask, request.request.patienceLeft, room(now), now);
    if (!choice)
        return false;
    const CustomerId &customer = request.request.customer;
    queueOf(tier).charge(customer, weightOf(customer), request.cost);
    reserve(request.request, *choice, now, out);
    return true;
}

void ShardLedger::enqueue(WaitingRequest request, Instant now, Outbox &out)
{
    // Beyond the limit nothing is kept and nothing is said: any refusal here would shed a request
    // without the floor. The entry sends again and is heard once there is room.
    if (m_waiting.size() >= m_context.policy.queueLimit)
        return;
    const AttemptId attempt = request.request.attempt;
    const Tier tier = request.request.tier;
    const Duration wait = expectedWait(tier, request.request.customer, now);
    const Duration slack = between(now, request.latestStart);
    WaitingRequest &waiting = m_waiting.emplace(attempt, std::move(request)).first->second;
    queueOf(tier).push(waiting, weightOf(waiting.request.customer));
    if (wait > scaled(slack, DoomMargin))
        doom(waiting, now);
    else if (wait > scaled(slack, m_context.policy.pressureShare))
        m_gate.press(tier, now);
    boundQueue(now);
    settle(now, out);
    serve(now, out);
    if (m_waiting.contains(attempt))
        answer(attempt, ReserveVerdict::Queued, now, out);
}

void ShardLedger::boundQueue(Instant now)
{
    if (m_waiting.size() <= m_context.policy.queueBound)
        return;
    for (std::size_t rank = LowestTierRank; rank > 0; --rank) {
        if (WaitingRequest *last = m_queues[rank].leastEntitled()) {
            doom(*last, now);
            return;
        }
    }
}

void ShardLedger::doom(WaitingRequest &request, Instant now)
{
    request.isDoomed = true;
    m_doomed.insert(request.request.attempt);
    m_gate.press(request.request.tier, now);
}

// ---- Replies.

void ShardLedger::reserve(const ReserveRequest &request, const Choice &choice, Instant now,
                          Outbox &out)
{
    TargetLedger &target = m_placement.at(choice.index);
    Reservation reservation;
    reservation.target = target.id();
    reservation.model = request.model;
    reservation.index = choice.index;
    reservation.promptTokens = request.promptTokens;
    reservation.outputTokens = request.outputTokens;
    reservation.prefillAhead = target.prefillAhead(now);
    reservation.batch = target.running() + 1;
    reservation.reservedAt = now;
    reservation.leaseUntil = now + m_context.policy.reservationLease;
    reservation.prediction = choice.prediction;
    reservation.isLong = choice.isLong;
    target.add(reservation);
    target.belief().used(request.prefixes, reservation.prefillEnd(), now);
    m_slotTime += scaled(choice.prediction.end - m_slotTime, SlotTimeWeight);
    m_reservations.emplace(request.attempt, reservation);
    reply(request.attempt, reservation, now, out);
}

void ShardLedger::reply(const AttemptId &attempt, const Reservation &reservation, Instant now,
                        Outbox &out)
{
    ReserveReply reply;
    reply.attempt = attempt;
    reply.shard = m_id;
    reply.verdict = ReserveVerdict::Reserved;
    reply.target = reservation.target;
    reply.lease = between(now, reservation.leaseUntil);
    reply.predictedFirstToken = reservation.prediction.firstToken;
    reply.predictedEnd = reservation.prediction.end;
    reply.cachedTokens = reservation.prediction.cachedTokens;
    out.push_back({attempt.entry.member, reply});
}

ReserveReply ShardLedger::refusal(const AttemptId &attempt, ReserveVerdict verdict,
                                  Instant now) const
{
    ReserveReply reply;
    reply.attempt = attempt;
    reply.shard = m_id;
    reply.verdict = verdict;
    const Duration wait = expectedWait(Tier(LowestTierRank), CustomerId(), now);
    reply.retryAfter = std::max(LeastRetryAfter, wait);
    return reply;
}

void ShardLedger::answer(const AttemptId &attempt, ReserveVerdict verdict, Instant now,
                         Outbox &out) const
{
    out.push_back({attempt.entry.member, refusal(attempt, verdict, now)});
}

void ShardLedger::refuse(const ReserveRequest &request, ReserveVerdict verdict, Instant now,
                         Outbox &out)
{
    const AttemptId &attempt = request.attempt;
    ReserveReply reply = refusal(attempt, verdict, now);
    if (verdict == ReserveVerdict::Shed)
        reply.retryAfter = std::max(reply.retryAfter, timeToAdmit(request.tier));
    dropWaiting(attempt);
    m_ended.add(attempt, reply, now);
    out.push_back({attempt.entry.member, reply});
}

void ShardLedger::dropWaiting(const AttemptId &attempt)
{
    const auto found = m_waiting.find(attempt);
    if (found == m_waiting.end())
        return;
    m_doomed.erase(attempt);
    queueOf(found->second.request.tier).remove(found->second);
    m_waiting.erase(found);
}

// ---- Ends of reservations.

void ShardLedger::handle(const ReserveCancel &message, Instant now, Outbox &out)
{
    dropWaiting(message.attempt);
    const auto reserved = m_reservations.find(message.attempt);
    if (reserved != m_reservations.end())
        free(reserved, now);
    m_ended.add(message.attempt, std::nullopt, now);
    serve(now, out);
}

void ShardLedger::handle(const Release &message, Instant now, Outbox &out)
{
    dropWaiting(message.attempt);
    const auto reserved = m_reservations.find(message.attempt);
    if (reserved != m_reservations.end()) {
        const Reservation reservation = reserved->second;
        TargetLedger &target = m_placement.at(reservation.index);
        const TargetHealth::State before = target.health(now);
        free(reserved, now);
        target.ended(reservation, message, now);
        if (before != TargetHealth::State::Suspended
            && target.health(now) == TargetHealth::State::Suspended)
            record(StewardEvent::TargetSuspended, "target=" + target.id().text());
    }
    m_ended.add(message.attempt, std::nullopt, now);
    serve(now, out);
}

void ShardLedger::free(Reservations::iterator reservation, Instant now)
{
    m_placement.at(reservation->second.index).remove(reservation->second, now);
    m_reservations.erase(reservation);
}

// ---- Service of the queue.

void ShardLedger::serve(Instant now, Outbox &out)
{
    if (m_waiting.empty())
        return;
    const Room room = this->room(now);
    const FairQueue::Limits limits {m_context.policy.tryLimit, m_context.policy.bypassLimit,
                                    m_context.policy.lookAhead};
    std::vector<AttemptId> placed;
    const auto place = [&](WaitingRequest &waiting, TargetMask open) {
        const Duration left = between(now, waiting.deadline);
        const std::optional<Choice> choice
            = m_placement.choose(waiting.request, open, left, room, now);
        if (!choice)
            return false;
        reserve(waiting.request, *choice, now, out);
        placed.push_back(waiting.request.attempt);
        return true;
    };
    const auto fitsWell = [&](const WaitingRequest &waiting, TargetMask free) {
        const ReserveRequest &request = waiting.request;
        return m_placement.cacheLoss(request, waiting.candidates, free, now)
            <= request.promptTokens / LeastLossShare;
    };
    TargetMask open = m_placement.open(room, now);
    const std::size_t lastRank = isReady(now) ? LowestTierRank : 1;
    for (std::size_t rank = 1; rank <= lastRank && open != 0; ++rank) {
        if (m_queues[rank].size() > 0)
            open = m_queues[rank].serve(open, limits, place, fitsWell);
    }
    for (const AttemptId &attempt : placed) {
        m_doomed.erase(attempt);
        m_waiting.erase(attempt);
    }
}

void ShardLedger::settle(Instant now, Outbox &out)
{
    for (std::size_t rank = LowestTierRank; rank > m_gate.floor().rank(); --rank) {
        while (WaitingRequest *last = m_queues[rank].leastEntitled())
            refuse(ReserveRequest(last->request), ReserveVerdict::Shed, now, out);
    }
    std::vector<AttemptId> shed;
    for (const AttemptId &attempt : m_doomed) {
        const Tier tier = m_waiting.at(attempt).request.tier;
        if (m_gate.mayShed(tier, now))
            shed.push_back(attempt);
        else
            m_gate.press(tier, now);
    }
    for (const AttemptId &attempt : shed)
        refuse(ReserveRequest(m_waiting.at(attempt).request), ReserveVerdict::Shed, now, out);
}

Duration ShardLedger::expectedWait(Tier tier, const CustomerId &customer, Instant now) const
{
    Duration work = m_slotTime;
    for (std::size_t rank = 1; rank < tier.rank(); ++rank)
        work += m_queues[rank].work();
    work += m_queues[tier.rank()].workAhead(customer, weightOf(customer));
    const std::uint32_t slots = m_placement.usableSlots(room(now), now);
    return work / std::max(slots, 1U);
}

TargetMask ShardLedger::waitedForAbove(Tier tier) const
{
    TargetMask mask = 0;
    for (std::size_t rank = 1; rank < tier.rank(); ++rank)
        mask |= m_queues[rank].candidates();
    return mask;
}

Room ShardLedger::room(Instant now) const
{
    const bool keepsShortLane = now - m_shortSeenAt < m_context.policy.shortMemory;
    return Room {m_context.members.visibleShare(), !isReady(now), keepsShortLane};
}

bool ShardLedger::isDead(const MemberInstance &entry) const
{
    const std::optional<MemberUpdate> member = m_context.members.find(entry.member);
    if (!member)
        return false;
    return member->instance.incarnation > entry.incarnation
        || (member->instance.incarnation == entry.incarnation
            && member->state == MemberState::Dead);
}

double ShardLedger::weightOf(const CustomerId &customer) const
{
    const auto found = m_context.weights.find(customer);
    return found == m_context.weights.end() ? 1.0 : std::max(found->second, 1U);
}

void ShardLedger::record(StewardEvent event, const std::string &details) const
{
    const std::string shard
        = m_id.service.text() + "/" + m_id.region.text() + "/" + std::to_string(m_id.index);
    m_context.events.record(
        {static_cast<int>(event), RequestKey(), "shard=" + shard + " " + details});
}

} // namespace Apricothook
