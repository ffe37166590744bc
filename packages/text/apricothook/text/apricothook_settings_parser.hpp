#pragma once

#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/model/apricothook_settings.hpp>
#include <apricothook/text/apricothook_text_error.hpp>

#include <string_view>
#include <vector>

namespace Apricothook {

/** Reads and checks one daemon's settings (docs/SETTINGS.md); errors as for the fleet text. */
Result<Settings, std::vector<TextError>> parseSettings(std::string_view text);

} // namespace Apricothook
