#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Apricothook {

/** Complete events taken from a stream. */
struct CompleteEvents
{
    /** The unchanged bytes of the events. */
    std::string bytes;
    std::size_t count = 0;
    /** The id of the last event with an id. */
    std::optional<std::uint64_t> lastId;
};

/**
 * Splits a text/event-stream into complete events. A target can fail in the middle of an event; a
 * stream can be resumed on another target only if nothing but complete events was forwarded.
 */
class EventStreamScanner
{
public:
    /** Longest event; those of engines hold a few tokens, in hundreds of bytes. */
    static constexpr std::size_t LargestEvent = 1 << 18;

    /** Appends bytes and returns the events that are now complete. */
    CompleteEvents feed(std::string_view bytes);
    /** The bytes of an incomplete event. */
    const std::string &incompleteEvent() const { return m_buffer; }
    /** The incomplete event is longer than events may be. */
    bool isTooLarge() const { return m_buffer.size() > LargestEvent; }

private:
    std::string m_buffer;
    /** Start of the last line in the buffer; what follows has no line end yet. */
    std::size_t m_line = 0;
    /** The last id that was read. */
    std::optional<std::uint64_t> m_id;
};

} // namespace Apricothook
