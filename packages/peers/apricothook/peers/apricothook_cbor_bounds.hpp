#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>

#include <cstddef>

namespace Apricothook {

/** Longest string accepted in a field; request keys are the longest ones in use. */
constexpr std::size_t MaximumStringBytes = 4 * MaximumKeyBytes;
/** Most elements accepted in an array of a field. */
constexpr std::size_t MaximumItems = 4096;

} // namespace Apricothook
