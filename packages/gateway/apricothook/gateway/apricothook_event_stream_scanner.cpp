#include <apricothook/gateway/apricothook_event_stream_scanner.hpp>

#include <algorithm>
#include <charconv>

namespace Apricothook {

namespace {

std::string_view takeLine(std::string_view &text)
{
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

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
    m_buffer.append(bytes);
    CompleteEvents complete;
    std::string_view left = m_buffer;
    std::size_t end = 0;
    std::optional<std::uint64_t> id;
    while (left.find('\n') != std::string_view::npos) {
        const std::string_view line = takeLine(left);
        if (!line.empty()) {
            const std::optional<std::uint64_t> read = idOf(line);
            id = read ? read : id;
            continue;
        }
        end = m_buffer.size() - left.size();
        ++complete.count;
        complete.lastId = id ? id : complete.lastId;
    }
    complete.bytes = m_buffer.substr(0, end);
    m_buffer.erase(0, end);
    return complete;
}

} // namespace Apricothook
