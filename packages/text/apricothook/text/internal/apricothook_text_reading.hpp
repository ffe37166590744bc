#pragma once

#include <apricothook/text/apricothook_text_error.hpp>
#include <apricothook/text/internal/apricothook_text_document.hpp>

#include <string>
#include <vector>

namespace Apricothook {

struct ValuePath;

/** One reading of a document: collects what is wrong, up to MaximumTextErrors. */
class TextReading
{
public:
    explicit TextReading(const TextDocument &document) : m_document(document) { }

    const TextDocument &document() const { return m_document; }
    void refuse(const Json::Value &value, const ValuePath &path, TextRule rule, std::string detail);
    bool isGood() const { return m_errors.empty(); }
    /** In the order of lines. */
    std::vector<TextError> takeErrors();

private:
    const TextDocument &m_document;
    std::vector<TextError> m_errors;
};

} // namespace Apricothook
