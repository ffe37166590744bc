#pragma once

#include <apricothook/caller/apricothook_caller_event.hpp>
#include <apricothook/caller/apricothook_caller_limits.hpp>
#include <apricothook/caller/internal/apricothook_exchange.hpp>
#include <apricothook/caller/internal/apricothook_operator_service.hpp>
#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/ports/apricothook_core_inbox.hpp>

#include <microhttpd.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string_view>

namespace Apricothook {

/**
 * Takes one exchange through its life: headers, body, the core's answer, the end. Called from the
 * threads of libmicrohttpd, each exchange from one of them only.
 */
class ExchangeService
{
public:
    ExchangeService(const CallerLimits &limits, const Clock &clock, CoreInbox &inbox,
                    EventSink &events, ConnectionWatch &watch);

    std::shared_ptr<Exchange> begin(MHD_Connection *connection, ConnectionNumber number,
                                    std::string_view uri);
    /** The library's access handler: called for the headers, each piece of the body and its end. */
    MHD_Result handle(MHD_Connection *connection, const std::shared_ptr<Exchange> &exchange,
                      const char *method, const char *version, std::string_view piece,
                      std::size_t &left);
    void end(Exchange &exchange, MHD_RequestTerminationCode how);

    void setLimits(const CallerLimits &limits);
    std::shared_ptr<const CallerLimits> limits() const;
    /** New requests are refused as "draining". */
    void drain() { m_isDraining = true; }
    void record(CallerEvent event, std::string details = {}) const;
    OperatorService &operators() { return m_operators; }
    std::size_t exchanges() const { return m_open; }
    std::uint64_t heldBodyBytes() const { return m_budget->held(); }

private:
    MHD_Result readHeaders(MHD_Connection *connection, Exchange &exchange, const char *method,
                           const char *version);
    Result<void, RefusalReason> checkHeaders(MHD_Connection *connection, Exchange &exchange,
                                             const char *version);
    Result<void, RefusalReason> checkCapacity(const Exchange &exchange) const;
    MHD_Result readBody(Exchange &exchange, std::string_view piece);
    MHD_Result finishRequest(MHD_Connection *connection, const std::shared_ptr<Exchange> &exchange);
    MHD_Result answer(MHD_Connection *connection, const std::shared_ptr<Exchange> &exchange);
    bool giveToCore(Exchange &exchange);
    CallerRequest requestOf(Exchange &exchange, const ServiceRoute &route);
    void refuse(Exchange &exchange, RefusalReason reason) const;

    const Clock &m_clock;
    CoreInbox &m_inbox;
    EventSink &m_events;
    ConnectionWatch &m_watch;
    OperatorService m_operators;
    std::shared_ptr<BodyBudget> m_budget = std::make_shared<BodyBudget>();
    std::atomic<std::uint64_t> m_lastExchange = 0;
    std::atomic<std::size_t> m_open = 0;
    std::atomic<bool> m_isDraining = false;
    mutable std::mutex m_limitsMutex;
    std::shared_ptr<const CallerLimits> m_limits;
};

} // namespace Apricothook
