#pragma once

#include <apricothook/model/apricothook_decision_event.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace Apricothook {

/**
 * Writes events to the log, one line each, at the level that the catalogue gives. Safe to use from
 * any thread.
 *
 * A burst of refusals is thousands of lines a second; written out they would cost more than the
 * requests and push the one line that explains them out of sight. So each number gets a bounded
 * number of lines a second, and the next line tells how many were left out.
 */
class LogSink : public EventSink
{
public:
    static constexpr std::uint32_t LinesPerSecond = 20;

    explicit LogSink(const Clock &clock, std::uint32_t linesPerSecond = LinesPerSecond)
        : m_clock(clock), m_linesPerSecond(linesPerSecond)
    {
    }
    void record(const DecisionEvent &event) override;

private:
    struct Budget
    {
        Instant since {};
        std::uint32_t written = 0;
        std::uint64_t leftOut = 0;
    };

    /** The number of lines left out before this one; nothing when this one is left out too. */
    std::optional<std::uint64_t> takeLine(int number);

    const Clock &m_clock;
    const std::uint32_t m_linesPerSecond;
    std::mutex m_mutex;
    std::unordered_map<int, Budget> m_budgets;
};

/** The text of an event's line; control characters, which could forge a line, become '?'. */
std::string eventLine(const DecisionEvent &event, std::uint64_t leftOut);

} // namespace Apricothook
