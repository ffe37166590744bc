#include <apricothook/text/internal/apricothook_text_document.hpp>

#include <apricothook/text/apricothook_printable.hpp>
#include <apricothook/text/apricothook_text_limits.hpp>

#include <json/reader.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <string>
#include <utility>

namespace Apricothook {

namespace {

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

std::unique_ptr<Json::CharReader> makeReader()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["allowComments"] = true;
    builder["collectComments"] = false;
    builder["stackLimit"] = MaximumTextDepth;
    return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

/**
 * The line as editors count it, by line feeds. JsonCpp counts a lone carriage return as a line's
 * end too, so that an error after one would be told at a line that the file may not even have.
 */
int lineOfReaderLine(std::string_view text, int readerLine)
{
    int line = 1;
    int passed = 1;
    for (std::size_t offset = 0; offset < text.size() && passed < readerLine; ++offset) {
        const bool isPair = text.substr(offset, 2) == "\r\n";
        if (text[offset] == '\n')
            ++line;
        if (text[offset] == '\n' || (text[offset] == '\r' && !isPair))
            ++passed;
    }
    return line;
}

/** JsonCpp tells errors as "* Line 3, Column 5\n  What is wrong\n"; the first is the cause. */
TextError errorOfReader(std::string_view text, std::string_view told)
{
    constexpr std::string_view LineMark = "Line ";
    TextError error {1, "$", TextRule::Syntax, {}};
    const std::size_t mark = told.find(LineMark);
    if (mark != std::string_view::npos) {
        const char *digits = told.data() + mark + LineMark.size();
        std::from_chars(digits, told.data() + told.size(), error.line);
        error.line = lineOfReaderLine(text, error.line);
    }
    const std::size_t firstEnd = std::min(told.find('\n'), told.size());
    const std::string_view rest = told.substr(firstEnd);
    const std::size_t start = std::min(rest.find_first_not_of("\n "), rest.size());
    const std::string_view message = rest.substr(start);
    error.detail = printable(message.substr(0, message.find('\n')));
    if (error.detail.starts_with("Duplicate key"))
        error.rule = TextRule::DuplicateKey;
    return error;
}

TextError tooLarge()
{
    return {1, "$", TextRule::TooLarge,
            "larger than " + std::to_string(MaximumTextBytes) + " bytes"};
}

TextError tooDeep()
{
    return {1, "$", TextRule::TooDeep,
            "nested deeper than " + std::to_string(MaximumTextDepth) + " levels"};
}

} // namespace

Result<TextDocument, TextError> TextDocument::parse(std::string_view text)
{
    if (text.size() > MaximumTextBytes)
        return tooLarge();
    // JsonCpp counts offsets from after a byte order mark; so does this document.
    if (text.starts_with(ByteOrderMark))
        text.remove_prefix(ByteOrderMark.size());
    Json::Value root;
    std::string told;
    try {
        if (!makeReader()->parse(text.data(), text.data() + text.size(), &root, &told))
            return errorOfReader(text, told);
    } catch (const Json::Exception &) {
        // JsonCpp throws when it meets its stack limit, and only then.
        return tooDeep();
    }
    return TextDocument(text, std::move(root));
}

TextDocument::TextDocument(std::string_view text, Json::Value root)
    : m_text(text), m_root(std::move(root))
{
    for (std::size_t offset = 0; offset < text.size(); ++offset) {
        if (text[offset] == '\n')
            m_lineEnds.push_back(offset);
    }
}

int TextDocument::lineOf(const Json::Value &value) const
{
    const auto offset = static_cast<std::size_t>(value.getOffsetStart());
    const auto end = std::lower_bound(m_lineEnds.begin(), m_lineEnds.end(), offset);
    return static_cast<int>(end - m_lineEnds.begin()) + 1;
}

std::string_view TextDocument::writingOf(const Json::Value &value) const
{
    const auto start = static_cast<std::size_t>(value.getOffsetStart());
    const auto limit = static_cast<std::size_t>(value.getOffsetLimit());
    return m_text.substr(std::min(start, m_text.size()), limit - start);
}

} // namespace Apricothook
