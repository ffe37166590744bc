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

/** A log record: an event number from docs/EVENTS.md and named fields. */
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

    /** Sets the key of the request that the event concerns. */
    LogEvent &forRequest(const RequestKey &request);
    /** Adds a field. `name` must be a string literal, as only a view of it is stored. */
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
    /** Marks an ordinary success. Such events are dropped first under load. */
    LogEvent &markRoutine();

    int number() const { return m_number; }
    bool isRoutine() const { return m_routine; }
    const RequestKey &request() const { return m_request; }
    const std::vector<Field> &fields() const { return m_fields; }

private:
    int m_number;
    bool m_routine = false;
    RequestKey m_request;
    std::vector<Field> m_fields;
};

/** Interface through which the gateway and other components of the process log events. */
class LogWriter
{
public:
    virtual ~LogWriter() = default;
    virtual void write(const LogEvent &event) = 0;
};

/**
 * Formats an event as one JSON line, newline included. `leftOut`: lines with the same number that
 * were dropped before this one.
 */
std::string structuredLine(const LogEvent &event, const std::string &vm,
                           std::uint64_t wallMilliseconds, Instant now, std::uint64_t leftOut);

/**
 * Writes events to a file descriptor, one JSON object per line.
 *
 * If the reader of standard output stops reading, a direct write would block the process and every
 * request in it. A dedicated thread therefore writes from a bounded buffer. Routine events are
 * dropped once the buffer is half full and all events once it is full; the next line with the same
 * number states how many were dropped. The lines per second are limited for each number, so that a
 * burst of one event doesn't hide others.
 */
class StructuredLog : public LogWriter
{
public:
    static constexpr std::size_t BufferBytes = 1 << 20;
    /** Limit for each event number; twice the request rate of a busy daemon. */
    static constexpr std::uint32_t LinesPerSecond = 100;
    /** Time for which lines are collected before they are written with one call. */
    static constexpr std::chrono::milliseconds FlushPause {200};

    /** A process that ends waits so long for a reader that has stopped reading. */
    static constexpr std::chrono::milliseconds FlushAtEnd {300};

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
    void drainBuffer();
    void writeLines(std::string_view lines) const;
    /** Waits until the descriptor takes bytes; false if the process ends meanwhile. */
    bool awaitReader() const;
    /** Whether the process ends and the reader has had its time. */
    bool isOverdue() const;

    const Clock &m_clock;
    const std::string m_vm;
    const int m_descriptor;
    mutable std::mutex m_mutex;
    std::condition_variable m_dataAvailable;
    std::string m_buffer;
    std::map<int, Budget> m_budgets;
    std::uint64_t m_dropped = 0;
    bool m_closing = false;
    std::chrono::steady_clock::time_point m_flushUntil {};
    std::thread m_writer;
};

} // namespace Apricothook
