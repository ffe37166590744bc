#include <apricothook/daemon/apricothook_metrics_observer.hpp>

#include <apricothook/observe/apricothook_metrics.hpp>
#include <apricothook/observe/apricothook_request_labels.hpp>

namespace Apricothook {

namespace {

RequestResult resultOf(const RequestSummary &summary)
{
    if (summary.refusal)
        return summary.refusal->outcome == Outcome::NotRun ? RequestResult::NotRun
                                                           : RequestResult::Unknown;
    if (summary.isAbandoned)
        return RequestResult::CallerLeft;
    return summary.isWithinPatience ? RequestResult::Answered : RequestResult::AnsweredLate;
}

} // namespace

void MetricsObserver::ended(const RequestSummary &summary)
{
    const RequestLabels labels {summary.tier, summary.requestClass, summary.customer};
    m_metrics.requestEnded(labels, resultOf(summary), summary.total);
    if (summary.refusal)
        m_metrics.refused(summary.tier, summary.refusal->reason);
    if (summary.queued > Duration::zero())
        m_metrics.queueWait(labels, summary.queued);
    if (summary.firstToken > Duration::zero())
        m_metrics.timeToFirstToken(labels, summary.firstToken);
    if (summary.betweenTokens > Duration::zero())
        m_metrics.interTokenLatency(labels, summary.betweenTokens);
    m_metrics.prefill(summary.tier, PrefillUse::Cached, summary.cachedTokens);
    m_metrics.prefill(summary.tier, PrefillUse::Wasted, summary.wastedPrefillTokens);
    const bool isAnswered = !summary.refusal && !summary.isAbandoned;
    if (isAnswered && summary.promptTokens > summary.cachedTokens)
        m_metrics.prefill(summary.tier, PrefillUse::Computed,
                          summary.promptTokens - summary.cachedTokens);
}

} // namespace Apricothook
