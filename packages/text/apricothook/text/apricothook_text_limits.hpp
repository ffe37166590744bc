#pragma once

#include <cstddef>

namespace Apricothook {

/** The platform's service holds values up to this size. */
constexpr std::size_t MaximumTextBytes = 1'000'000;

/** Errors that are told of one text; bounds the memory that a hostile text can take. */
constexpr std::size_t MaximumTextErrors = 1000;

/** Nesting that the reader follows; a good text needs four levels. */
constexpr int MaximumTextDepth = 16;

} // namespace Apricothook
