#include <apricothook/observe/apricothook_structured_log.hpp>

#include <apricothook/observe/apricothook_event_names.hpp>

#include <json/value.h>
#include <json/writer.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <memory>
#include <sstream>

namespace Apricothook {

namespace {

constexpr double MicrosecondsPerMillisecond = 1000;
/** A pipe that is ready takes so many bytes without blocking. */
constexpr std::size_t ChunkBytes = PIPE_BUF;
/** How often it is looked whether the process ends while the reader doesn't read. */
constexpr std::chrono::milliseconds ReaderPollInterval {50};

Json::Value jsonOf(const LogEvent::Value &value)
{
    if (const auto *text = std::get_if<std::string>(&value))
        return *text;
    if (const auto *whole = std::get_if<std::int64_t>(&value))
        return static_cast<Json::Int64>(*whole);
    if (const auto *real = std::get_if<double>(&value))
        return *real;
    return std::get<bool>(value);
}

std::string toCompactJson(const Json::Value &value)
{
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder made;
        made["indentation"] = "";
        made["precision"] = 6;
        return made;
    }();
    const std::unique_ptr<Json::StreamWriter> writer(builder.newStreamWriter());
    std::ostringstream text;
    writer->write(value, &text);
    return text.str();
}

std::string_view levelOf(const EventName *name)
{
    // A number missing from the catalogue is a programming error, so it is logged as an error.
    if (!name || name->level == EventLevel::Error)
        return "error";
    return name->level == EventLevel::Warning ? "warning" : "info";
}

} // namespace

LogEvent &LogEvent::forRequest(const RequestKey &request)
{
    m_request = request;
    return *this;
}

LogEvent &LogEvent::with(std::string_view name, std::string value)
{
    m_fields.push_back({name, std::move(value)});
    return *this;
}

LogEvent &LogEvent::with(std::string_view name, double value)
{
    m_fields.push_back({name, value});
    return *this;
}

LogEvent &LogEvent::with(std::string_view name, bool value)
{
    m_fields.push_back({name, value});
    return *this;
}

LogEvent &LogEvent::with(std::string_view name, Duration value)
{
    m_fields.push_back({name, static_cast<double>(value.count()) / MicrosecondsPerMillisecond});
    return *this;
}

LogEvent &LogEvent::markRoutine()
{
    m_routine = true;
    return *this;
}

std::string structuredLine(const LogEvent &event, const std::string &vm,
                           std::uint64_t wallMilliseconds, Instant now, std::uint64_t leftOut)
{
    const EventName *name = findEventName(event.number());
    Json::Value line(Json::objectValue);
    line["event"] = event.number();
    line["name"] = name ? std::string(name->name) : "NotInCatalogue";
    line["level"] = std::string(levelOf(name));
    line["time"] = static_cast<Json::UInt64>(wallMilliseconds);
    line["steady"] = static_cast<Json::Int64>(now.time_since_epoch().count());
    line["vm"] = vm;
    if (!event.request().isEmpty())
        line["request"] = event.request().text();
    for (const LogEvent::Field &field : event.fields())
        line[std::string(field.name)] = jsonOf(field.value);
    if (leftOut > 0)
        line["left_out"] = static_cast<Json::UInt64>(leftOut);
    return toCompactJson(line) + "\n";
}

StructuredLog::StructuredLog(const Clock &clock, std::string vm, int descriptor)
    : m_clock(clock)
    , m_vm(std::move(vm))
    , m_descriptor(descriptor)
    , m_writer([this] { drainBuffer(); })
{
}

StructuredLog::~StructuredLog()
{
    {
        const std::lock_guard lock(m_mutex);
        m_closing = true;
        m_flushUntil = std::chrono::steady_clock::now() + FlushAtEnd;
    }
    m_dataAvailable.notify_one();
    m_writer.join();
}

bool StructuredLog::hasRoom(const LogEvent &event, Budget &budget, Instant now) const
{
    if (now - budget.since >= std::chrono::seconds(1)) {
        budget.since = now;
        budget.written = 0;
    }
    const std::size_t limit = event.isRoutine() ? BufferBytes / 2 : BufferBytes;
    return budget.written < LinesPerSecond && m_buffer.size() < limit;
}

void StructuredLog::write(const LogEvent &event)
{
    const Instant now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    Budget &budget = m_budgets[event.number()];
    if (!hasRoom(event, budget, now)) {
        ++budget.leftOut;
        ++m_dropped;
        return;
    }
    ++budget.written;
    const bool wasEmpty = m_buffer.empty();
    m_buffer += structuredLine(event, m_vm, m_clock.wallMilliseconds(), now,
                               std::exchange(budget.leftOut, 0));
    if (wasEmpty)
        m_dataAvailable.notify_one();
}

std::uint64_t StructuredLog::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

bool StructuredLog::isOverdue() const
{
    const std::lock_guard lock(m_mutex);
    return m_closing && std::chrono::steady_clock::now() >= m_flushUntil;
}

bool StructuredLog::awaitReader() const
{
    while (!isOverdue()) {
        pollfd readiness {m_descriptor, POLLOUT, 0};
        if (poll(&readiness, 1, static_cast<int>(ReaderPollInterval.count())) > 0)
            return true;
    }
    return false;
}

void StructuredLog::writeLines(std::string_view lines) const
{
    while (!lines.empty() && awaitReader()) {
        const std::string_view chunk = lines.substr(0, ChunkBytes);
        // A process that is killed between two writes leaves whole lines.
        const std::size_t newline = chunk.rfind('\n');
        const std::size_t size = newline == std::string_view::npos ? chunk.size() : newline + 1;
        const ssize_t written = ::write(m_descriptor, lines.data(), size);
        if (written < 0 && (errno == EINTR || errno == EAGAIN))
            continue;
        // The reader has closed the descriptor, so the error can't be reported anywhere.
        if (written <= 0)
            return;
        lines.remove_prefix(static_cast<std::size_t>(written));
    }
}

void StructuredLog::drainBuffer()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_dataAvailable.wait(lock, [this] { return m_closing || !m_buffer.empty(); });
        if (!m_closing)
            m_dataAvailable.wait_for(lock, FlushPause, [this] { return m_closing; });
        const std::string lines = std::exchange(m_buffer, {});
        const bool closing = m_closing;
        lock.unlock();
        writeLines(lines);
        if (closing)
            return;
        lock.lock();
    }
}

} // namespace Apricothook
