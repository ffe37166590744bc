#pragma once

#include <apricothook/model/apricothook_result.hpp>
#include <apricothook/text/apricothook_text_error.hpp>

#include <json/value.h>

#include <cstddef>
#include <string_view>
#include <vector>

namespace Apricothook {

/** A text as JSON values that know their lines. The text itself must outlive the document. */
class TextDocument
{
public:
    /** Refuses what is too large, isn't JSON with comments, or has a key twice in an object. */
    static Result<TextDocument, TextError> parse(std::string_view text);

    const Json::Value &root() const { return m_root; }
    /** Counted from 1. */
    int lineOf(const Json::Value &value) const;
    /** The value as it is written. */
    std::string_view writingOf(const Json::Value &value) const;

private:
    TextDocument(std::string_view text, Json::Value root);

    std::string_view m_text;
    Json::Value m_root;
    /** Offset of each line's end. */
    std::vector<std::size_t> m_lineEnds;
};

} // namespace Apricothook
