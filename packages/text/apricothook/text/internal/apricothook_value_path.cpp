#include <apricothook/text/apricothook_printable.hpp>
#include <apricothook/text/internal/apricothook_value_path.hpp>

namespace Apricothook {

std::string ValuePath::text() const
{
    if (!parent)
        return "$";
    std::string before = parent->text();
    if (key.empty())
        return before + "[" + std::to_string(index) + "]";
    if (before == "$")
        return printable(key);
    return before + "." + printable(key);
}

} // namespace Apricothook
