#pragma once

#include <apricothook/requests/apricothook_request_life.hpp>
#include <apricothook/requests/internal/apricothook_in_flight_reporter.hpp>

#include <optional>
#include <unordered_map>

namespace Apricothook {

struct FlowContext;

/** The open exchanges of this entry, and which of them each dispatch belongs to. */
class ExchangeBook
{
public:
    explicit ExchangeBook(FlowContext &context) : m_context(context) { }

    /** The exchange with this number; made when there is none. */
    RequestLife &open(ExchangeId id) { return m_exchanges[id]; }
    /** Null when it has ended. */
    RequestLife *find(ExchangeId id);
    /** The exchange that a dispatch runs for; null when nobody waits for it any more. */
    RequestLife *find(DispatchId dispatch);
    /** From now on, what the target adapter says of `exchange.dispatch` is about this exchange. */
    void bindDispatch(const RequestLife &exchange);
    void unbind(DispatchId dispatch) { m_dispatches.erase(dispatch); }

    /** Ends the exchange; a refusal goes to the caller first. */
    void finish(const RequestLife &exchange, const std::optional<Refusal> &refusal, Instant now);
    /** Forgets the exchange without a word. */
    void erase(const RequestLife &exchange);

    ExchangeTable &all() { return m_exchanges; }
    std::size_t size() const { return m_exchanges.size(); }

private:
    FlowContext &m_context;
    ExchangeTable m_exchanges;
    std::unordered_map<DispatchId, ExchangeId> m_dispatches;
};

} // namespace Apricothook
