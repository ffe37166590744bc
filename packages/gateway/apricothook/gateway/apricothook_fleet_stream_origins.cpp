#include <apricothook/gateway/apricothook_fleet_stream_origins.hpp>

#include <apricothook/gateway/apricothook_gateway_event.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

FleetStreamOrigins::FleetStreamOrigins(EventLoop &loop, const LimitPeer &self,
                                       LimitMessenger &messenger, LogWriter &log, Decided decided)
    : m_loop(loop), m_log(log), m_decided(std::move(decided)), m_exchange(self, messenger, *this)
{
}

FleetStreamOrigins::~FleetStreamOrigins()
{
    m_loop.cancel(m_queryTimer);
}

std::size_t FleetStreamOrigins::begin(ExchangeId exchange, const RequestKey &stream,
                                      const StreamOrigin &origin, Duration lifetime)
{
    return m_exchange.begin(exchange, streamHash(stream), origin, lifetime, m_loop.now());
}

std::optional<StreamOriginDecision> FleetStreamOrigins::find(ExchangeId exchange,
                                                             const RequestKey &stream)
{
    std::optional<StreamOriginDecision> decision
        = m_exchange.find(exchange, streamHash(stream), m_loop.now());
    scheduleQueries();
    return decision;
}

void FleetStreamOrigins::review(const std::vector<LiveDaemon> &live, bool knowsFleet)
{
    m_exchange.review(live, knowsFleet, m_loop.now());
    const std::uint64_t forgotten = m_exchange.forgotten();
    if (forgotten == std::exchange(m_loggedForgotten, forgotten))
        return;
    m_log.write(LogEvent(GatewayEvent::StreamsForgotten)
                    .with("streams", forgotten)
                    .with("remembered", m_exchange.remembered()));
}

void FleetStreamOrigins::onOriginDecided(ExchangeId exchange, const StreamOriginDecision &decision)
{
    m_decided(exchange, decision);
}

void FleetStreamOrigins::scheduleQueries()
{
    m_loop.cancel(m_queryTimer);
    m_queryTimer = 0;
    const std::optional<Instant> next = m_exchange.nextReview();
    if (!next)
        return;
    const Duration wait = std::max<Duration>(*next - m_loop.now(), Duration::zero());
    m_queryTimer = m_loop.after(wait, [this] {
        m_queryTimer = 0;
        m_exchange.reviewQueries(m_loop.now());
        scheduleQueries();
    });
}

} // namespace Apricothook
