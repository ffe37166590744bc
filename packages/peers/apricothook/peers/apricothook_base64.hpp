#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Apricothook {

std::string toBase64(std::string_view bytes);
/** Returns nothing if the text isn't padded base64. */
std::optional<std::string> fromBase64(std::string_view text);

} // namespace Apricothook
