#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Apricothook {

std::string toBase64(std::string_view bytes);
/** Nothing when it isn't base64 with its padding. */
std::optional<std::string> fromBase64(std::string_view text);

} // namespace Apricothook
