#include <apricothook/gateway/apricothook_event_stream_scanner.hpp>

#include <charconv>

namespace Apricothook {

namespace {

std::optional<std::uint64_t> idOf(std::string_view line)
{
    constexpr std::string_view Field = "id:";
    if (!line.starts_with(Field))
        return std::nullopt;
    line.remove_prefix(Field.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    std::uint64_t id = 0;
    const auto read = std::from_chars(line.data(), line.data() + line.size(), id);
    return read.ec == std::errc() ? std::optional(id) : std::nullopt;
}

} // namespace

CompleteEvents EventStreamScanner::feed(std::string_view bytes)
{
    std::size_t searched = m_buffer.size();
    m_buffer.append(bytes);
    CompleteEvents complete;
    std::size_t end = 0;
    for (std::size_t newline = m_buffer.find('\n', searched); newline != std::string::npos;
         newline = m_buffer.find('\n', searched)) {
        std::string_view line = std::string_view(m_buffer).substr(m_line, newline - m_line);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        m_line = searched = newline + 1;
        if (!line.empty()) {
            const std::optional<std::uint64_t> read = idOf(line);
            m_id = read ? read : m_id;
            continue;
        }
        end = m_line;
        ++complete.count;
        complete.lastId = m_id ? m_id : complete.lastId;
    }
    complete.bytes = m_buffer.substr(0, end);
    m_buffer.erase(0, end);
    m_line -= end;
    return complete;
}

} // namespace Apricothook
