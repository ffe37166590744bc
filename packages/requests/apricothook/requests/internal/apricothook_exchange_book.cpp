#include <apricothook/requests/internal/apricothook_exchange_book.hpp>

#include <apricothook/requests/internal/apricothook_flow_context.hpp>
#include <apricothook/requests/internal/apricothook_request_summary.hpp>

namespace Apricothook {

namespace {

std::string reasonText(const Refusal &refusal)
{
    return "reason=" + std::string(nameOf(refusal.reason))
        + " outcome=" + std::string(nameOf(refusal.outcome));
}

} // namespace

RequestLife *ExchangeBook::find(ExchangeId id)
{
    const auto found = m_exchanges.find(id);
    return found == m_exchanges.end() ? nullptr : &found->second;
}

RequestLife *ExchangeBook::find(DispatchId dispatch)
{
    const auto found = m_dispatches.find(dispatch);
    return found == m_dispatches.end() ? nullptr : find(found->second);
}

void ExchangeBook::bindDispatch(const RequestLife &exchange)
{
    m_dispatches[exchange.dispatch] = exchange.request.exchange;
}

void ExchangeBook::finish(const RequestLife &exchange, const std::optional<Refusal> &refusal,
                          Instant now)
{
    if (refusal) {
        m_context.record(RequestsEvent::Refused, exchange, reasonText(*refusal));
        exchange.request.answer->refuse(*refusal);
    }
    if (exchange.step != ExchangeStep::Lookup)
        m_context.ports.observer.ended(summaryOf(exchange, refusal, now));
    erase(exchange);
}

void ExchangeBook::erase(const RequestLife &exchange)
{
    const ExchangeId id = exchange.request.exchange;
    m_context.due.remove(id);
    m_exchanges.erase(id);
}

} // namespace Apricothook
