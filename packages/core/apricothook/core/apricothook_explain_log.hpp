#pragma once

#include <apricothook/model/apricothook_decision_event.hpp>

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace Apricothook {

/** One step of a request's explanation. */
struct ExplainedStep
{
    /** Since the daemon started. */
    Duration at {};
    int number = 0;
    std::string details;
    auto operator<=>(const ExplainedStep &) const = default;
};

/**
 * Passes events on to the log and keeps those of the latest requests, so that `explain` can tell
 * what was decided for a request. Bounded: the oldest keys go first.
 */
class ExplainLog : public EventSink
{
public:
    explicit ExplainLog(EventSink &next);

    void setNow(Instant now) { m_now = now; }
    void record(const DecisionEvent &event) override;
    /** Steps of a caller's key, of all customers; empty when the key is no longer kept. */
    std::vector<ExplainedStep> explain(const RequestKey &callerKey) const;

private:
    static constexpr std::size_t MaximumKeys = 4096;
    static constexpr std::size_t MaximumSteps = 64;

    EventSink &m_next;
    Instant m_now {};
    Instant m_started {};
    std::unordered_map<std::string, std::vector<ExplainedStep>> m_steps;
    std::deque<std::string> m_order;
};

} // namespace Apricothook
