#include <apricothook/http1/apricothook_header_list.hpp>

#include <algorithm>
#include <array>

namespace Apricothook {

namespace {

constexpr std::array<std::string_view, 9> HopByHop {
    "Connection",        "Keep-Alive", "Proxy-Connection", "TE",     "Trailer",
    "Transfer-Encoding", "Upgrade",    "Content-Length",   "Expect",
};

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

template <typename Visit>
void forEachToken(std::string_view list, const Visit &visit)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        const std::string_view token = trimmed(list.substr(0, comma));
        if (!token.empty())
            visit(token);
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, {}, lower, lower);
}

bool containsToken(std::string_view list, std::string_view token)
{
    bool found = false;
    forEachToken(list, [&](std::string_view each) { found |= equalsIgnoringCase(each, token); });
    return found;
}

void HeaderList::add(std::string_view name, std::string_view value)
{
    m_headers.push_back({std::string(name), std::string(value)});
}

void HeaderList::set(std::string_view name, std::string_view value)
{
    remove(name);
    add(name, value);
}

void HeaderList::remove(std::string_view name)
{
    std::erase_if(m_headers, [name](const HeaderLine &header) {
        return equalsIgnoringCase(header.name, name);
    });
}

std::optional<std::string_view> HeaderList::find(std::string_view name) const
{
    for (const HeaderLine &header : m_headers) {
        if (equalsIgnoringCase(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

std::size_t HeaderList::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_headers, [name](const HeaderLine &header) {
            return equalsIgnoringCase(header.name, name);
        }));
}

void HeaderList::removeHopByHop()
{
    std::vector<std::string> names(HopByHop.begin(), HopByHop.end());
    for (const HeaderLine &header : m_headers) {
        if (equalsIgnoringCase(header.name, "Connection"))
            forEachToken(header.value, [&](std::string_view token) { names.emplace_back(token); });
    }
    for (const std::string &name : names)
        remove(name);
}

} // namespace Apricothook
