#include <apricothook/peers/apricothook_base64.hpp>

#include <openssl/evp.h>

namespace Apricothook {

namespace {

constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupCharacters = 4;
constexpr std::size_t MaximumCharacters = 64U << 20U;

std::size_t paddingOf(std::string_view text)
{
    if (text.ends_with("=="))
        return 2;
    return text.ends_with("=") ? 1 : 0;
}

} // namespace

std::string toBase64(std::string_view bytes)
{
    // EVP_EncodeBlock() appends a terminating zero byte.
    std::string text((bytes.size() + GroupBytes - 1) / GroupBytes * GroupCharacters + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                     reinterpret_cast<const unsigned char *>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    if (text.empty())
        return std::string();
    if (text.size() % GroupCharacters != 0 || text.size() > MaximumCharacters)
        return std::nullopt;
    std::string bytes(text.size() / GroupCharacters * GroupBytes, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    if (size < 0)
        return std::nullopt;
    bytes.resize(static_cast<std::size_t>(size) - paddingOf(text));
    return bytes;
}

} // namespace Apricothook
