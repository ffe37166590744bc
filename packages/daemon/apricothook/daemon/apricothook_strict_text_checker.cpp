#include <apricothook/daemon/apricothook_strict_text_checker.hpp>

#include <apricothook/text/apricothook_fleet_text_parser.hpp>
#include <apricothook/text/apricothook_text_error.hpp>

#include <sstream>

namespace Apricothook {

Result<FleetText, TextFault> StrictTextChecker::check(std::string_view text) const
{
    Result<FleetText, std::vector<TextError>> parsed = parseFleetText(text);
    if (parsed)
        return std::move(parsed.value());
    std::ostringstream first;
    printTextErrors(first, "text", {parsed.error().front()});
    return TextFault {parsed.error().size(), first.str()};
}

} // namespace Apricothook
