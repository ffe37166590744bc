#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Apricothook {

/** Bytes of a foreign text that an error shows. */
constexpr std::size_t MaximumShownBytes = 80;

/**
 * The text in printable ASCII and at most so many characters. Texts and answers are shown on the
 * operators' terminals, where control sequences in them could hide or forge an error.
 */
std::string printable(std::string_view text, std::size_t maximumBytes = MaximumShownBytes);

/** The same in single quotes. */
std::string inQuotes(std::string_view text);

} // namespace Apricothook
