#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Apricothook {

/** The platform holds values up to a megabyte. */
constexpr std::size_t MaximumTextBytes = 1U << 20U;

/** Sizes of the pieces in which a text is pulled; the mean is near 4 KB. */
constexpr std::size_t MinimumPieceBytes = 2UL * 1024;
constexpr std::size_t MaximumPieceBytes = 8UL * 1024;
constexpr std::size_t MaximumPieces = MaximumTextBytes / MinimumPieceBytes + 1;

/**
 * Cuts a text after lines that their own hash chooses. A changed line moves only the cuts beside
 * it, so that both texts share all other pieces, wherever the change shifts them.
 */
std::vector<std::string_view> cutText(std::string_view text);

/** The hash of each piece, in the text's order. */
std::vector<std::uint64_t> pieceHashes(const std::vector<std::string_view> &pieces);

} // namespace Apricothook
