#include <apricothook/requests/internal/apricothook_reserve_step.hpp>

#include <apricothook/requests/internal/apricothook_flow_context.hpp>
#include <apricothook/requests/internal/apricothook_resend_delay.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

// A steward that is silent for so many sends (about 0.75 s) is dead, paused or cut off; another
// shard is asked rather than the whole patience spent on it.
constexpr std::uint32_t SendsPerSteward = 4;
// A steward that lost its queue, as by a restart, is asked again after this long.
constexpr Duration QueuedKeepAlive = std::chrono::seconds(1);
// Two daemons see a change of members within a few gossip periods of each other.
constexpr Duration NotStewardDelay = std::chrono::milliseconds(100);

// Room is used at once or not at all: a daemon that was paused would otherwise send work to a
// target that began to leave meanwhile.
constexpr Duration UseWithin = std::chrono::seconds(3);

const ShardId &shardOf(const RequestLife &exchange)
{
    return exchange.shards[exchange.shardIndex];
}

/** The last shard of the list may shed, once it has shut the lower tiers; the others send on. */
bool isLast(const RequestLife &exchange)
{
    return exchange.shardIndex + 1 >= exchange.shards.size();
}

ReserveRequest requestOf(const RequestLife &exchange, const AttemptId &attempt, Instant now)
{
    ReserveRequest request;
    request.attempt = attempt;
    request.shard = shardOf(exchange);
    request.tier = exchange.requestClass.tier;
    request.customer = exchange.customer;
    request.model = exchange.request.profile.model;
    request.promptTokens = exchange.request.profile.promptTokens;
    request.outputTokens = exchange.outputTokens;
    request.patienceLeft = exchange.deadline - now;
    request.prefixes = exchange.request.profile.prefixes;
    request.excluded = exchange.excluded;
    request.isLastResort = exchange.isLastResort;
    return request;
}

RefusalReason reasonOf(ReserveVerdict verdict)
{
    switch (verdict) {
    case ReserveVerdict::PatienceTooShort:
        return RefusalReason::PatienceTooShort;
    case ReserveVerdict::NoTarget:
        return RefusalReason::NoTarget;
    case ReserveVerdict::PatienceOver:
        return RefusalReason::PatienceOver;
    default:
        return RefusalReason::Shed;
    }
}

std::optional<Duration> retryAfterOf(const ReserveReply &reply)
{
    if (reply.retryAfter > Duration::zero())
        return reply.retryAfter;
    return std::nullopt;
}

} // namespace

ReserveStep::Advance ReserveStep::begin(RequestLife &exchange, std::uint32_t outputTokens,
                                        Instant now, Outbox &out)
{
    exchange.step = ExchangeStep::Reserving;
    exchange.outputTokens = outputTokens;
    exchange.reservation.reset();
    exchange.shards
        = m_context.ports.router.shardsFor(exchange.request.service, exchange.request.profile, now);
    exchange.sends = 0;
    exchange.isQueued = false;
    exchange.isShardGone = false;
    exchange.shardIndex = 0;
    exchange.isLastResort = isLast(exchange);
    if (exchange.shards.empty())
        return {Progress::Refused, Refusal {RefusalReason::NoTarget, Outcome::NotRun, {}}};
    ask(exchange, now, out);
    return {};
}

ReserveStep::Advance ReserveStep::replied(RequestLife &exchange, const MemberId &from,
                                          const ReserveReply &reply, Instant now, Outbox &out)
{
    if (reply.shard != shardOf(exchange) || reply.attempt != m_context.attemptOf(exchange))
        return {};
    switch (reply.verdict) {
    case ReserveVerdict::Reserved:
        exchange.askedSteward = from;
        exchange.reservation = reply;
        exchange.reservedUntil = now + std::min(reply.lease, UseWithin);
        return {Progress::Reserved, {}};
    case ReserveVerdict::Queued:
        exchange.isQueued = true;
        m_context.due.set(exchange.request.exchange,
                          std::min(now + QueuedKeepAlive, exchange.deadline));
        return {};
    case ReserveVerdict::NotSteward:
        m_context.due.set(exchange.request.exchange,
                          std::min(now + NotStewardDelay, exchange.deadline));
        return {};
    default:
        return refusedBy(exchange, reply, now, out);
    }
}

ReserveStep::Advance ReserveStep::due(RequestLife &exchange, Instant now, Outbox &out)
{
    if (exchange.isShardGone) {
        cancel(exchange, out);
        ++exchange.attempt;
        return begin(exchange, exchange.outputTokens, now, out);
    }
    if (exchange.sends >= SendsPerSteward && !exchange.isQueued && exchange.shards.size() > 1) {
        m_context.record(RequestsEvent::StewardSilent, exchange,
                         "steward=" + exchange.askedSteward.text());
        return nextShard(exchange, now, out);
    }
    exchange.isQueued = false;
    ask(exchange, now, out);
    return {};
}

void ReserveStep::shardsChanged(RequestLife &exchange, const std::vector<ShardId> &shards,
                                Instant now)
{
    // Nobody keeps a shard that a new configuration has cut away: the request would ask for it
    // until its patience ends, beside other shards that may have room.
    if (std::ranges::find(shards, shardOf(exchange)) != shards.end())
        return;
    exchange.isShardGone = true;
    m_context.due.set(exchange.request.exchange, now);
}

void ReserveStep::membersChanged(RequestLife &exchange, Instant now, Outbox &out)
{
    if (m_context.ports.router.stewardOf(shardOf(exchange)) == exchange.askedSteward)
        return;
    exchange.sends = 0;
    exchange.isQueued = false;
    ask(exchange, now, out);
}

void ReserveStep::cancel(const RequestLife &exchange, Outbox &out) const
{
    if (exchange.shards.empty())
        return;
    out.push_back(
        {exchange.askedSteward, ReserveCancel {m_context.attemptOf(exchange), shardOf(exchange)}});
}

void ReserveStep::ask(RequestLife &exchange, Instant now, Outbox &out)
{
    exchange.askedSteward = m_context.ports.router.stewardOf(shardOf(exchange));
    ++exchange.sends;
    out.push_back({exchange.askedSteward, requestOf(exchange, m_context.attemptOf(exchange), now)});
    m_context.due.set(exchange.request.exchange,
                      std::min(now + resendDelay(exchange.sends), exchange.deadline));
}

ReserveStep::Advance ReserveStep::nextShard(RequestLife &exchange, Instant now, Outbox &out)
{
    cancel(exchange, out);
    exchange.sends = 0;
    exchange.isQueued = false;
    exchange.shardIndex = (exchange.shardIndex + 1) % exchange.shards.size();
    exchange.isLastResort = isLast(exchange);
    // A new attempt, as the steward that was left must not mix it up with the cancelled one.
    ++exchange.attempt;
    ask(exchange, now, out);
    return {};
}

ReserveStep::Advance ReserveStep::refusedBy(RequestLife &exchange, const ReserveReply &reply,
                                            Instant now, Outbox &out)
{
    const Refusal refusal {reasonOf(reply.verdict), Outcome::NotRun, retryAfterOf(reply)};
    if (isLast(exchange) || reply.verdict == ReserveVerdict::Shed)
        return {Progress::Refused, refusal};
    return nextShard(exchange, now, out);
}

} // namespace Apricothook
