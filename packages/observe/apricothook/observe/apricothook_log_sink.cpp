#include <apricothook/observe/apricothook_log_sink.hpp>

#include <apricothook/observe/apricothook_event_names.hpp>

#include <glog/logging.h>

#include <algorithm>

namespace Apricothook {

namespace {

google::LogSeverity severityOf(int number)
{
    const EventName *name = findEventName(number);
    // A number missing from the catalogue is a programming error, so it is logged as an error.
    if (!name || name->level == EventLevel::Error)
        return google::GLOG_ERROR;
    return name->level == EventLevel::Warning ? google::GLOG_WARNING : google::GLOG_INFO;
}

std::string sanitize(std::string text)
{
    const auto isControl = [](char byte) { return (byte >= 0 && byte < ' ') || byte == '\x7f'; };
    std::ranges::replace_if(text, isControl, '?');
    return text;
}

} // namespace

void LogSink::record(const DecisionEvent &event)
{
    const std::optional<std::uint64_t> leftOut = admitLine(event.number);
    if (!leftOut)
        return;
    google::LogMessage("event", event.number, severityOf(event.number)).stream()
        << eventLine(event, *leftOut);
}

std::optional<std::uint64_t> LogSink::admitLine(int number)
{
    const Instant now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    Budget &budget = m_budgets[number];
    if (budget.written == 0 || now - budget.since >= std::chrono::seconds(1)) {
        budget.since = now;
        budget.written = 0;
    }
    if (budget.written >= m_linesPerSecond) {
        ++budget.leftOut;
        return std::nullopt;
    }
    ++budget.written;
    return std::exchange(budget.leftOut, 0);
}

std::string eventLine(const DecisionEvent &event, std::uint64_t leftOut)
{
    const EventName *name = findEventName(event.number);
    std::string line = "E" + std::to_string(event.number) + " ";
    line += name ? name->name : "NotInCatalogue";
    if (!event.key.isEmpty())
        line += " key=" + event.key.text();
    if (!event.details.empty())
        line += " " + event.details;
    if (leftOut > 0)
        line += " left-out=" + std::to_string(leftOut);
    return sanitize(std::move(line));
}

} // namespace Apricothook
