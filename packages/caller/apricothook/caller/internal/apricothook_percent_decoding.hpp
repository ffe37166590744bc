#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Apricothook {

/** Decodes %XX; nothing where a '%' isn't followed by two hex digits. */
std::optional<std::string> percentDecoded(std::string_view text);

} // namespace Apricothook
