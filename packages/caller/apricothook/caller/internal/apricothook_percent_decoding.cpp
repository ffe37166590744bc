#include <apricothook/caller/internal/apricothook_percent_decoding.hpp>

#include <charconv>

namespace Apricothook {

std::optional<std::string> percentDecoded(std::string_view text)
{
    constexpr std::size_t EscapeLength = 3;
    constexpr int Hexadecimal = 16;
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] != '%') {
            decoded.push_back(text[at]);
            continue;
        }
        if (text.size() - at < EscapeLength)
            return std::nullopt;
        unsigned char byte = 0;
        const char *const end = text.data() + at + EscapeLength;
        const auto [stop, error] = std::from_chars(text.data() + at + 1, end, byte, Hexadecimal);
        if (error != std::errc() || stop != end)
            return std::nullopt;
        decoded.push_back(static_cast<char>(byte));
        at += EscapeLength - 1;
    }
    return decoded;
}

} // namespace Apricothook
