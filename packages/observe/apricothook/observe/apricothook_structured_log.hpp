#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <variant>
#include <vector>

namespace Apricothook {

/** One decision or change as a line of the log: a number of docs/EVENTS.md and named values. */
class LogEvent
{
public:
    using Value = std::variant<std::string, std::int64_t, double, bool>;
    struct Field
    {
        std::string_view name;
        Value value;
    };

    template <typename Enumeration>
    explicit LogEvent(Enumeration event) : m_number(static_cast<int>(event))
    {
    }

    /** The request that the event is about. */
    LogEvent &forRequest(const RequestKey &request);
    /** `name` must be a literal. */
    LogEvent &with(std::string_view name, std::string value);
    LogEvent &with(std::string_view name, double value);
    LogEvent &with(std::string_view name, bool value);
    LogEvent &with(std::string_view name, Duration value);
    template <std::integral Integer>
    requires(!std::same_as<Integer, bool>) LogEvent &with(std::string_view name, Integer value)
    {
        m_fields.push_back({name, static_cast<std::int64_t>(value)});
        return *this;
    }
    /** Ordinary successes; left out first when there are too many lines. */
    LogEvent &markRoutine();

    int number() const { return m_number; }
    bool routine() const { return m_routine; }
    const RequestKey &request() const { return m_request; }
    const std::vector<Field> &fields() const { return m_fields; }

private:
    int m_number;
    bool m_routine = false;
    RequestKey m_request;
    std::vector<Field> m_fields;
};

/** Takes events; the gateway and what stands beside it write through this. */
class LogWriter
{
public:
    virtual ~LogWriter() = default;
    virtual void write(const LogEvent &event) = 0;
};

/** The line of an event, with the newline; `leftOut` lines of its number went before it. */
std::string structuredLine(const LogEvent &event, const std::string &vm,
                           std::uint64_t wallMilliseconds, Instant now, std::uint64_t leftOut);

/**
 * Writes events to a descriptor, one JSON object a line.
 *
 * A reader of standard output that stops reading would stop the process at its next line, and with
 * it every request. A thread of its own writes, from a bounded buffer: when the buffer is half full
 * routine lines are dropped, when it is full all are, and the next line of a number tells how many.
 * Each number has a bounded number of lines a second, so that a storm of one event hides no other.
 */
class StructuredLog : public LogWriter
{
public:
    static constexpr std::size_t BufferBytes = 1 << 20;
    /** Lines of one number in a second; twice the requests of a busy daemon. */
    static constexpr std::uint32_t LinesPerSecond = 100;
    /** Lines gather for so long before they are written with one call. */
    static constexpr std::chrono::milliseconds FlushPause {200};

    StructuredLog(const Clock &clock, std::string vm, int descriptor);
    ~StructuredLog() override;
    StructuredLog(const StructuredLog &) = delete;
    StructuredLog &operator=(const StructuredLog &) = delete;

    void write(const LogEvent &event) override;
    std::uint64_t dropped() const;

private:
    struct Budget
    {
        Instant since {};
        std::uint32_t written = 0;
        std::uint64_t leftOut = 0;
    };

    bool hasRoom(const LogEvent &event, Budget &budget, Instant now) const;
    void writeOut();

    const Clock &m_clock;
    const std::string m_vm;
    const int m_descriptor;
    mutable std::mutex m_mutex;
    std::condition_variable m_filled;
    std::string m_buffer;
    std::map<int, Budget> m_budgets;
    std::uint64_t m_dropped = 0;
    bool m_closing = false;
    std::thread m_writer;
};

} // namespace Apricothook
