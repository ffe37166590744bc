#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Apricothook {

/** Whole events cut off the front of a stream. */
struct WholeEvents
{
    /** Their bytes, unchanged. */
    std::string bytes;
    std::size_t count = 0;
    /** The id of the last one that has an id. */
    std::optional<std::uint64_t> lastId;
};

/**
 * Cuts a text/event-stream at the ends of events. A target may stop in the middle of an event; only
 * whole events may be passed on if another target is to go on behind them.
 */
class EventStreamScanner
{
public:
    /** Takes bytes and gives back the events that they complete. */
    WholeEvents take(std::string_view bytes);
    /** Bytes of an event that isn't whole. */
    const std::string &rest() const { return m_rest; }
    void clear() { m_rest.clear(); }

private:
    std::string m_rest;
};

} // namespace Apricothook
