#include <apricothook/core/apricothook_explain_log.hpp>

#include <apricothook/requests/apricothook_customer_key.hpp>

namespace Apricothook {

ExplainLog::ExplainLog(EventSink &next) : m_next(next) { }

void ExplainLog::record(const DecisionEvent &event)
{
    m_next.record(event);
    if (event.key.isEmpty())
        return;
    if (m_started == Instant())
        m_started = m_now;
    const std::string key = callerKeyOf(event.key).text();
    const auto [steps, isNew] = m_steps.try_emplace(key);
    if (isNew)
        m_order.push_back(key);
    if (steps->second.size() < MaximumSteps)
        steps->second.push_back({m_now - m_started, event.number, event.details});
    if (m_order.size() > MaximumKeys) {
        m_steps.erase(m_order.front());
        m_order.pop_front();
    }
}

std::vector<ExplainedStep> ExplainLog::explain(const RequestKey &callerKey) const
{
    const auto found = m_steps.find(callerKey.text());
    return found == m_steps.end() ? std::vector<ExplainedStep>() : found->second;
}

} // namespace Apricothook
