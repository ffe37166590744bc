#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothook {

/** One header line of an HTTP message. */
struct HeaderLine
{
    std::string name;
    std::string value;

    auto operator<=>(const HeaderLine &) const = default;
};

/** Header lines in the order of the message; names compare without case. */
class HeaderList
{
public:
    void add(std::string_view name, std::string_view value);
    /** Replaces every line of that name. */
    void set(std::string_view name, std::string_view value);
    void remove(std::string_view name);
    /** The first value; nothing when there is no such line. */
    std::optional<std::string_view> find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    bool isEmpty() const { return m_headers.empty(); }
    auto begin() const { return m_headers.begin(); }
    auto end() const { return m_headers.end(); }

    /**
     * Removes what concerns one connection only: the standard hop-by-hop headers, those that
     * `Connection` names, and the length, which the next hop's writer states anew.
     */
    void removeHopByHop();

    auto operator<=>(const HeaderList &) const = default;

private:
    std::vector<HeaderLine> m_headers;
};

/** Compares names of headers and tokens of their values. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/** True when the comma-separated `list` has `token`, whatever its case. */
bool listsToken(std::string_view list, std::string_view token);

} // namespace Apricothook
