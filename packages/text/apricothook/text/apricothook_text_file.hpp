#pragma once

#include <apricothook/model/apricothook_result.hpp>

#include <string>
#include <string_view>

namespace Apricothook {

enum class TextFileFailure {
    CannotOpen, ///< It isn't there or may not be read.
    CannotRead, ///< It opens but gives no bytes, such as a folder.
};

std::string_view nameOf(TextFileFailure failure);

/**
 * The content of a file, cut off one byte above MaximumTextBytes: enough for the parsers to refuse
 * it as too large, without holding a file of any size in memory.
 */
Result<std::string, TextFileFailure> readTextFile(const std::string &name);

} // namespace Apricothook
