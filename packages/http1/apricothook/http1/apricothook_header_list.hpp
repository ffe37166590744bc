#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothook {

/** One header field of an HTTP message. */
struct HeaderLine
{
    std::string name;
    std::string value;

    auto operator<=>(const HeaderLine &) const = default;
};

/** Header fields in message order; names are case-insensitive. */
class HeaderList
{
public:
    void add(std::string_view name, std::string_view value);
    /** Replaces all fields of that name. */
    void set(std::string_view name, std::string_view value);
    void remove(std::string_view name);
    /** The value of the first field of that name. */
    std::optional<std::string_view> find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    bool isEmpty() const { return m_headers.empty(); }
    auto begin() const { return m_headers.begin(); }
    auto end() const { return m_headers.end(); }

    /**
     * Removes the standard hop-by-hop headers, those listed in `Connection`, and Content-Length,
     * which is written anew for the next hop.
     */
    void removeHopByHop();

    auto operator<=>(const HeaderList &) const = default;

private:
    std::vector<HeaderLine> m_headers;
};

/** ASCII case-insensitive comparison of header names and tokens. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/** True if the comma-separated `list` contains `token`, ignoring case. */
bool containsToken(std::string_view list, std::string_view token);

} // namespace Apricothook
