#include <apricothook/text/apricothook_text_file.hpp>

#include <apricothook/text/apricothook_text_limits.hpp>

#include <fstream>

namespace Apricothook {

std::string_view nameOf(TextFileFailure failure)
{
    return failure == TextFileFailure::CannotOpen ? "cannot-open" : "cannot-read";
}

Result<std::string, TextFileFailure> readTextFile(const std::string &name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file)
        return TextFileFailure::CannotOpen;
    std::string content(MaximumTextBytes + 1, '\0');
    file.read(content.data(), static_cast<std::streamsize>(content.size()));
    if (file.bad() || (file.fail() && !file.eof()))
        return TextFileFailure::CannotRead;
    content.resize(static_cast<std::size_t>(file.gcount()));
    return content;
}

} // namespace Apricothook
