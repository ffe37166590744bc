#pragma once

#include <string>
#include <string_view>

namespace Apricothook {

/**
 * The text in printable ASCII and at most 80 characters. A text is shown on the operators'
 * terminals, where control sequences in it could hide or forge an error.
 */
std::string printable(std::string_view text);

/** The same in single quotes. */
std::string inQuotes(std::string_view text);

} // namespace Apricothook
