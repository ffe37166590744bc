#include <apricothook/target/internal/apricothook_event_scanner.hpp>

#include <algorithm>
#include <charconv>

namespace Apricothook {

namespace {

constexpr std::string_view TokenEvent = "data: {\"token\"";
constexpr std::string_view UsageEvent = "data: {\"usage\"";
constexpr std::string_view LastEvent = "data: [DONE]";
constexpr std::string_view CachedTokensName = "\"cachedTokens\":";
/** Longest line that is kept over a border; a longer one is a token's, told by its beginning. */
constexpr std::size_t MaximumPartialBytes = 512;

std::uint32_t numberAfter(std::string_view line, std::string_view name)
{
    const std::size_t at = line.find(name);
    std::uint32_t number = 0;
    if (at != std::string_view::npos)
        std::from_chars(line.data() + at + name.size(), line.data() + line.size(), number);
    return number;
}

} // namespace

void EventScanner::feed(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        if (end == std::string_view::npos) {
            keepPartial(bytes);
            return;
        }
        if (m_partial.empty()) {
            takeLine(bytes.substr(0, end));
        } else {
            keepPartial(bytes.substr(0, end));
            takeLine(m_partial);
            m_partial.clear();
        }
        bytes.remove_prefix(end + 1);
    }
}

void EventScanner::takeLine(std::string_view line)
{
    if (line.empty() && m_state != State::InStream) {
        m_state = State::Done;
        return;
    }
    m_state = line == LastEvent ? State::LastEventLine : State::InStream;
    if (line.starts_with(TokenEvent))
        ++m_tokens;
    else if (line.starts_with(UsageEvent))
        m_cachedTokens = numberAfter(line, CachedTokensName);
}

void EventScanner::keepPartial(std::string_view rest)
{
    const std::size_t room = MaximumPartialBytes - m_partial.size();
    m_partial.append(rest.substr(0, std::min(room, rest.size())));
}

} // namespace Apricothook
