#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Apricothook {

/**
 * The names of one kind of thing and the lines they stand on. Malformed names are known too, so
 * that one wrong name isn't told again at every reference to it.
 */
class KnownNames
{
public:
    /** What it is a name of, for errors, such as "data centre". */
    explicit KnownNames(std::string_view kind) : m_kind(kind) { }

    std::string_view kind() const { return m_kind; }
    bool has(std::string_view name) const { return m_lines.contains(name); }
    /** Line of the earlier one of that name; 0 when the name is new and now known. */
    int add(std::string_view name, int line)
    {
        const auto [entry, isNew] = m_lines.try_emplace(std::string(name), line);
        return isNew ? 0 : entry->second;
    }

private:
    std::string_view m_kind;
    std::map<std::string, int, std::less<>> m_lines;
};

} // namespace Apricothook
