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
 * Writes events to the log, one line each, at the severity given in the event catalogue.
 * Thread-safe.
 *
 * A burst of refusals produces thousands of events a second. Logging all of them would cost more
 * than handling the requests and would bury the one line that explains the burst. The lines per
 * second are therefore limited for each event number, and the next line that is written states how
 * many were suppressed.
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

    /**
     * Number of lines suppressed since the last one written; nothing if this line must be
     * suppressed as well.
     */
    std::optional<std::uint64_t> admitLine(int number);

    const Clock &m_clock;
    const std::uint32_t m_linesPerSecond;
    std::mutex m_mutex;
    std::unordered_map<int, Budget> m_budgets;
};

/** Formats an event's line. Replaces control characters with '?' to prevent log injection. */
std::string eventLine(const DecisionEvent &event, std::uint64_t leftOut);

} // namespace Apricothook
