#include <apricothook/requests/internal/apricothook_run_step.hpp>

#include <apricothook/model/apricothook_hashing.hpp>
#include <apricothook/requests/apricothook_customer_key.hpp>
#include <apricothook/requests/internal/apricothook_flow_context.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace Apricothook {

namespace {

constexpr std::size_t RetainedAnswerBytes = 1 << 20;
// Silence for longer than this between bytes means that the connection is lost, not that the
// engine is slow: the slowest engine's pace is a small part of it.
constexpr Duration SilenceBetweenBytes = std::chrono::seconds(3);
// Engines keep a stream's bytes this long (docs/ENGINE-PROTOCOL.md).
constexpr Duration StreamKeptAfterEnd = std::chrono::seconds(60);
constexpr std::uint64_t StreamIdSeed = 0x9e3779b97f4a7c15ULL;

/** 128 bits of the key, so that any daemon can name the stream of a key. */
std::string streamIdOf(const RequestKey &key)
{
    std::array<char, 33> text {};
    const auto low = static_cast<unsigned long long>(hashOf(key.text()));
    const auto high = static_cast<unsigned long long>(hashOf(key.text(), StreamIdSeed));
    std::snprintf(text.data(), text.size(), "%016llx%016llx", high, low);
    return text.data();
}

} // namespace

bool RunStep::dispatch(RequestLife &exchange, const Target &target, Instant now)
{
    const Instant notAfter = std::min(exchange.deadline, exchange.reservedUntil);
    // A process that was paused wakes up here with a grant that nobody else can hold, but the
    // caller has gone or the target's room was given away. Nothing was sent, so it is "not run".
    if (now >= notAfter) {
        m_context.record(RequestsEvent::TooLateToSend, exchange, "target=" + target.id.text());
        return false;
    }
    DispatchOrder dispatchOrder = orderFor(exchange, target);
    dispatchOrder.notAfter = notAfter;
    if (!order(exchange, std::move(dispatchOrder), now))
        return false;
    m_context.ports.gate.runStarted(exchange.request.profile.fingerprint, target.id, now);
    m_context.record(RequestsEvent::Dispatched, exchange,
                     "target=" + target.id.text() + " attempt=" + std::to_string(exchange.attempt));
    return true;
}

bool RunStep::takeOver(RequestLife &exchange, const Target &target, Instant now)
{
    DispatchOrder dispatchOrder = orderFor(exchange, target);
    dispatchOrder.notAfter = exchange.deadline;
    dispatchOrder.resumeOnly = true;
    if (!order(exchange, std::move(dispatchOrder), now))
        return false;
    m_context.record(RequestsEvent::StreamTakenOver, exchange, "target=" + target.id.text());
    return true;
}

void RunStep::hint(const RequestLife &exchange, Instant now, Outbox &out) const
{
    if (!exchange.isKeyGiven || exchange.serviceKind != ServiceKind::Engine)
        return;
    const std::vector<MemberId> witnesses
        = m_context.ports.homes.witnessesOf(exchange.key, exchange.customer, now);
    if (witnesses.empty())
        return;
    const Duration left = exchange.deadline - now + StreamKeptAfterEnd;
    out.push_back({witnesses.front(),
                   RunHint {exchange.key, exchange.request.profile.fingerprint,
                            exchange.reservation->target, left}});
}

void RunStep::cancel(const RequestLife &exchange)
{
    // When the ring is full the run goes on until its deadline: a cost, not a broken promise.
    m_context.ports.targets.order(CancelOrder {exchange.dispatch});
}

void RunStep::release(const RequestLife &exchange, const DispatchEnded &ended, Outbox &out) const
{
    if (!exchange.reservation)
        return;
    Release release;
    release.attempt = m_context.attemptOf(exchange);
    release.shard = exchange.reservation->shard;
    release.target = exchange.reservation->target;
    release.end = ended.end;
    release.promptTokens = exchange.request.profile.promptTokens;
    release.cachedTokens = std::max(ended.cachedTokens, exchange.reservation->cachedTokens);
    release.outputTokens = ended.outputTokens;
    release.firstByte = ended.firstByte;
    release.streaming = ended.streaming;
    out.push_back({m_context.ports.router.stewardOf(release.shard), release});
}

void RunStep::report(const RequestLife &exchange, KeyEnd end, Instant now, Outbox &out)
{
    std::vector<MemberId> homes;
    for (const HomeAnswer &answer : exchange.homes)
        homes.push_back(answer.home);
    m_context.outcomes.report({m_context.attemptOf(exchange), exchange.key, end}, homes, now, out);
}

DispatchOrder RunStep::orderFor(const RequestLife &exchange, const Target &target) const
{
    DispatchOrder order;
    order.target = target.id;
    order.address = target.address;
    order.kind = exchange.serviceKind;
    order.method = exchange.request.method;
    order.path = exchange.request.path;
    order.headers = exchange.request.headers;
    order.body = exchange.request.body;
    order.key = callerKeyOf(exchange.key);
    order.streamId = streamIdOf(exchange.key);
    order.deadlines.firstByte = exchange.deadline - exchange.arrived;
    order.deadlines.betweenBytes = SilenceBetweenBytes;
    order.deadlines.end = exchange.deadline;
    order.answer = exchange.request.answer;
    return order;
}

bool RunStep::order(RequestLife &exchange, DispatchOrder order, Instant now)
{
    if (exchange.isKeyGiven)
        exchange.request.answer->retain(RetainedAnswerBytes);
    exchange.dispatch = DispatchId(++m_lastDispatch);
    order.dispatch = exchange.dispatch;
    if (!m_context.ports.targets.order(std::move(order)))
        return false;
    exchange.step = ExchangeStep::Running;
    exchange.dispatched = now;
    m_context.due.set(exchange.request.exchange, exchange.deadline);
    return true;
}

} // namespace Apricothook
