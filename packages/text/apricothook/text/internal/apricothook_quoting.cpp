#include <apricothook/text/internal/apricothook_quoting.hpp>

namespace Apricothook {

namespace {

constexpr std::size_t MaximumShownBytes = 80;

bool isPrintable(char character)
{
    return character >= ' ' && character <= '~';
}

} // namespace

std::string printable(std::string_view text)
{
    std::string shown;
    for (const char character : text.substr(0, MaximumShownBytes))
        shown += isPrintable(character) ? character : '?';
    if (text.size() > MaximumShownBytes)
        shown += "...";
    return shown;
}

std::string inQuotes(std::string_view text)
{
    return "'" + printable(text) + "'";
}

} // namespace Apricothook
