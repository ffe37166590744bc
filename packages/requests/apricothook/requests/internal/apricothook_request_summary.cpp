#include <apricothook/requests/internal/apricothook_request_summary.hpp>

namespace Apricothook {

namespace {

/** Prompt work that an engine did, or may have done, for an answer that didn't become whole. */
std::uint32_t wastedPrefill(const RequestLife &exchange)
{
    const bool isWasted = exchange.serviceKind == ServiceKind::Engine && exchange.ended
        && exchange.ended->end != RunEnd::Answered && !exchange.ended->isProvenNotRun
        && exchange.reservation;
    if (!isWasted)
        return 0;
    const std::uint32_t prompt = exchange.request.profile.promptTokens;
    const std::uint32_t cached = exchange.reservation->cachedTokens;
    return prompt > cached ? prompt - cached : 0;
}

} // namespace

RequestSummary summaryOf(const RequestLife &exchange, const std::optional<Refusal> &refusal,
                         Instant now)
{
    RequestSummary summary;
    summary.customer = exchange.customer;
    summary.requestClass = exchange.requestClass.id;
    summary.tier = exchange.requestClass.tier;
    summary.refusal = refusal;
    summary.isWithinPatience = !refusal && now <= exchange.deadline;
    summary.isAbandoned = exchange.isAbandoned;
    summary.total = now - exchange.arrived;
    summary.queued = exchange.queued;
    summary.promptTokens = exchange.request.profile.promptTokens;
    if (exchange.reservation) {
        summary.target = exchange.reservation->target;
        summary.cachedTokens = exchange.reservation->cachedTokens;
    }
    if (exchange.ended) {
        summary.outputTokens = exchange.ended->outputTokens;
        summary.firstToken = exchange.dispatched - exchange.arrived + exchange.ended->firstByte;
        if (summary.outputTokens > 1)
            summary.betweenTokens = exchange.ended->streaming / (summary.outputTokens - 1);
    }
    summary.wastedPrefillTokens = wastedPrefill(exchange);
    return summary;
}

} // namespace Apricothook
