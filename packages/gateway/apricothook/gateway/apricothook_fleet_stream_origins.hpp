#pragma once

#include <apricothook/dispatch/apricothook_stream_origin_exchange.hpp>
#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/observe/apricothook_structured_log.hpp>

#include <functional>

namespace Apricothook {

/** Connects what the fleet remembers of streams to the event loop and the log. */
class FleetStreamOrigins : private StreamOriginListener
{
public:
    using Decided = std::function<void(ExchangeId exchange, const StreamOriginDecision &decision)>;

    FleetStreamOrigins(EventLoop &loop, const LimitPeer &self, LimitMessenger &messenger,
                       LogWriter &log, Decided decided);
    ~FleetStreamOrigins() override;
    FleetStreamOrigins(const FleetStreamOrigins &) = delete;
    FleetStreamOrigins &operator=(const FleetStreamOrigins &) = delete;

    /** See StreamOriginExchange::begin(). */
    std::size_t begin(ExchangeId exchange, const RequestKey &stream, const StreamOrigin &origin,
                      Duration lifetime);
    void end(ExchangeId exchange) { m_exchange.end(exchange); }
    /** Returns the decision, or nothing if it comes later. */
    std::optional<StreamOriginDecision> find(ExchangeId exchange, const RequestKey &stream);
    void cancel(ExchangeId exchange) { m_exchange.cancel(exchange); }
    /** Applies what another daemon knows, or answers its query. */
    template <typename Message>
    void take(const Message &message)
    {
        m_exchange.take(message, m_loop.now());
        scheduleQueries();
    }
    void joinFleet() { m_exchange.joinFleet(); }
    /** See StreamOriginExchange::review(). */
    void review(const std::vector<LiveDaemon> &live, bool knowsFleet);
    std::size_t remembered() const { return m_exchange.remembered(); }

private:
    void onOriginDecided(ExchangeId exchange, const StreamOriginDecision &decision) override;
    void scheduleQueries();

    EventLoop &m_loop;
    LogWriter &m_log;
    const Decided m_decided;
    StreamOriginExchange m_exchange;
    std::uint64_t m_loggedForgotten = 0;
    TimerId m_queryTimer = 0;
};

} // namespace Apricothook
