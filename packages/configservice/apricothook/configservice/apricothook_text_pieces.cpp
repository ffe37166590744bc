#include <apricothook/configservice/apricothook_text_pieces.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

/** One line in 16 may end a piece: lines of a fleet text are some hundred bytes long. */
constexpr std::uint64_t CutMask = 0xF;

std::size_t endOfLine(std::string_view text, std::size_t from)
{
    const std::size_t newline = text.find('\n', from);
    return newline == std::string_view::npos ? text.size() : newline + 1;
}

std::size_t endOfPiece(std::string_view text, std::size_t start)
{
    std::size_t end = start;
    while (end < text.size()) {
        const std::size_t next = endOfLine(text, end);
        if (next - start >= MaximumPieceBytes)
            return std::min(next, start + MaximumPieceBytes);
        const bool isChosen = (hashOf(text.substr(end, next - end)) & CutMask) == 0;
        end = next;
        if (isChosen && end - start >= MinimumPieceBytes)
            return end;
    }
    return end;
}

} // namespace

std::vector<std::string_view> cutText(std::string_view text)
{
    std::vector<std::string_view> pieces;
    for (std::size_t start = 0; start < text.size();) {
        const std::size_t end = endOfPiece(text, start);
        pieces.push_back(text.substr(start, end - start));
        start = end;
    }
    return pieces;
}

std::vector<std::uint64_t> pieceHashes(const std::vector<std::string_view> &pieces)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(pieces.size());
    for (const std::string_view piece : pieces)
        hashes.push_back(hashOf(piece));
    return hashes;
}

} // namespace Apricothook
