#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>

#include <cstddef>

namespace Apricothook {

/** Longest string of a field; the longest in use is a request key. */
constexpr std::size_t MaximumStringBytes = 4 * MaximumKeyBytes;
/** Most items of an array of a field. */
constexpr std::size_t MaximumItems = 4096;

} // namespace Apricothook
