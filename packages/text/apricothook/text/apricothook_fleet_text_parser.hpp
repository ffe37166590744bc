#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/text/apricothook_text_error.hpp>

#include <string_view>
#include <vector>

namespace Apricothook {

/**
 * Reads and checks the operators' text (docs/TEXT.md). The text is good as a whole or refused with
 * everything that is wrong with it, in the order of lines; only an error of JSON's syntax stands
 * alone. No input makes it throw.
 */
Result<FleetText, std::vector<TextError>> parseFleetText(std::string_view text);

} // namespace Apricothook
