#include <apricothook/text/internal/apricothook_text_reading.hpp>

#include <apricothook/text/apricothook_text_limits.hpp>
#include <apricothook/text/internal/apricothook_value_path.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

void TextReading::refuse(const Json::Value &value, const ValuePath &path, TextRule rule,
                         std::string detail)
{
    if (m_errors.size() > MaximumTextErrors)
        return;
    const int line = m_document.lineOf(value);
    if (m_errors.size() == MaximumTextErrors) {
        m_errors.push_back({line, "$", TextRule::TooManyErrors, "more errors aren't shown"});
        return;
    }
    m_errors.push_back({line, path.text(), rule, std::move(detail)});
}

std::vector<TextError> TextReading::takeErrors()
{
    std::stable_sort(
        m_errors.begin(), m_errors.end(),
        [](const TextError &one, const TextError &other) { return one.line < other.line; });
    return std::move(m_errors);
}

} // namespace Apricothook
