#include <apricothook/text/apricothook_printable.hpp>

namespace Apricothook {

namespace {

bool isPrintable(char character)
{
    return character >= ' ' && character <= '~';
}

} // namespace

std::string printable(std::string_view text, std::size_t maximumBytes)
{
    std::string shown;
    for (const char character : text.substr(0, maximumBytes))
        shown += isPrintable(character) ? character : '?';
    if (text.size() > maximumBytes)
        shown += "...";
    return shown;
}

std::string inQuotes(std::string_view text)
{
    return "'" + printable(text) + "'";
}

} // namespace Apricothook
