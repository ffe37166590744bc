#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Apricothook {

/**
 * Reads an engine's event stream as it passes, in pieces of any size: counts tokens and sees
 * whether the last event came. It copies only lines that a piece's border cuts.
 */
class EventScanner
{
public:
    void feed(std::string_view bytes);
    /** True when the bytes so far end with the last event, `data: [DONE]\n\n`. */
    bool isDone() const { return m_state == State::Done && m_partial.empty(); }
    std::uint32_t tokens() const { return m_tokens; }
    std::uint32_t cachedTokens() const { return m_cachedTokens; }

private:
    enum class State { InStream, LastEventLine, Done };

    void takeLine(std::string_view line);
    void keepPartial(std::string_view rest);

    State m_state = State::InStream;
    std::string m_partial;
    std::uint32_t m_tokens = 0;
    std::uint32_t m_cachedTokens = 0;
};

} // namespace Apricothook
