#include <apricothook/text/internal/apricothook_object_reader.hpp>

#include <apricothook/text/apricothook_printable.hpp>
#include <apricothook/text/internal/apricothook_known_names.hpp>
#include <apricothook/text/internal/apricothook_value_checks.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace Apricothook {

namespace {

std::string_view viewOf(const Json::Value &value)
{
    const char *begin = nullptr;
    const char *end = nullptr;
    value.getString(&begin, &end);
    return {begin, static_cast<std::size_t>(end - begin)};
}

constexpr std::string_view NameShape = "a name is 1 to 64 of letters, digits, '.', '_' and '-'";

} // namespace

ObjectReader::ObjectReader(TextReading &reading, const Json::Value &value, const ValuePath &path)
    : m_reading(reading), m_value(value), m_path(path), m_isObject(value.isObject())
{
    if (!m_isObject)
        m_reading.refuse(value, path, TextRule::WrongType, "an object is wanted");
}

const Json::Value *ObjectReader::member(std::string_view key) const
{
    return m_isObject ? m_value.find(key.data(), key.data() + key.size()) : nullptr;
}

bool ObjectReader::has(std::string_view key)
{
    return find(key, Need::Optional) != nullptr;
}

bool ObjectReader::isEmptyList(std::string_view key) const
{
    const Json::Value *value = member(key);
    return value && value->isArray() && value->empty();
}

const Json::Value *ObjectReader::find(std::string_view key, Need need)
{
    if (std::find(m_known.begin(), m_known.end(), key) == m_known.end())
        m_known.push_back(key);
    const Json::Value *value = member(key);
    if (!value && need == Need::Required)
        refuseMissing(key);
    return value;
}

void ObjectReader::refuseMissing(std::string_view key)
{
    if (m_isObject)
        m_reading.refuse(m_value, m_path, TextRule::MissingKey, inQuotes(key) + " is missing");
}

void ObjectReader::refuse(std::string_view key, TextRule rule, std::string detail)
{
    const Json::Value *value = member(key);
    if (value)
        m_reading.refuse(*value, {&m_path, key}, rule, std::move(detail));
    else if (m_isObject)
        m_reading.refuse(m_value, m_path, rule, std::move(detail));
}

void ObjectReader::refuseUnknownKeys()
{
    if (!m_isObject)
        return;
    for (auto entry = m_value.begin(); entry != m_value.end(); ++entry) {
        const char *end = nullptr;
        const char *begin = entry.memberName(&end);
        const std::string_view key(begin, static_cast<std::size_t>(end - begin));
        if (std::find(m_known.begin(), m_known.end(), key) != m_known.end())
            continue;
        m_reading.refuse(*entry, {&m_path, key}, TextRule::UnknownKey, "no such key here");
    }
}

bool ObjectReader::readView(std::string_view key, std::string_view &out, Need need)
{
    const Json::Value *value = find(key, need);
    if (!value)
        return false;
    if (!value->isString()) {
        refuse(key, TextRule::WrongType, "a string is wanted");
        return false;
    }
    out = viewOf(*value);
    return true;
}

bool ObjectReader::readString(std::string_view key, std::string &out, Need need)
{
    std::string_view view;
    if (!readView(key, view, need))
        return false;
    out = view;
    return true;
}

bool ObjectReader::readName(std::string_view key, std::string &out, Need need)
{
    std::string_view view;
    if (!readView(key, view, need))
        return false;
    if (!isName(view)) {
        refuse(key, TextRule::MalformedName, inQuotes(view) + ": " + std::string(NameShape));
        return false;
    }
    out = view;
    return true;
}

bool ObjectReader::readNewName(std::string_view key, std::string &out, KnownNames &names)
{
    std::string_view view;
    if (!readView(key, view, Need::Required))
        return false;
    const int earlier = names.add(view, m_reading.document().lineOf(*member(key)));
    if (earlier != 0) {
        refuse(key, TextRule::DuplicateName,
               std::string(names.kind()) + " " + inQuotes(view) + " is on line "
                   + std::to_string(earlier) + " already");
        return false;
    }
    return readName(key, out, Need::Required);
}

bool ObjectReader::readReference(std::string_view key, std::string &out, const KnownNames &names,
                                 Need need)
{
    std::string_view view;
    if (!readView(key, view, need))
        return false;
    if (!names.has(view)) {
        refuse(key, TextRule::UnknownReference,
               "there is no " + std::string(names.kind()) + " " + inQuotes(view));
        return false;
    }
    out = view;
    return true;
}

bool ObjectReader::readFlag(std::string_view key, bool &out, Need need)
{
    const Json::Value *value = find(key, need);
    if (!value)
        return false;
    if (!value->isBool()) {
        refuse(key, TextRule::WrongType, "true or false is wanted");
        return false;
    }
    out = value->asBool();
    return true;
}

bool ObjectReader::isNumber(std::string_view key, const Json::Value &value)
{
    // JsonCpp takes writings that JSON doesn't have, such as a lone "-" as 0 and "010" as 10. An
    // operator who mistypes a limit must not get another one than the text seems to say.
    if (value.isNumeric() && isJsonNumber(m_reading.document().writingOf(value)))
        return true;
    refuse(key, TextRule::WrongType, "a number is wanted");
    return false;
}

bool ObjectReader::readWhole(std::string_view key, std::uint64_t &out, Bounds<std::uint64_t> bounds,
                             Need need)
{
    const Json::Value *value = find(key, need);
    if (!value || !isNumber(key, *value))
        return false;
    const bool isWhole = value->isUInt64();
    if (!isWhole || value->asUInt64() < bounds.least || value->asUInt64() > bounds.most) {
        refuse(key, TextRule::OutOfBounds,
               "a whole number from " + std::to_string(bounds.least) + " to "
                   + std::to_string(bounds.most) + " is wanted");
        return false;
    }
    out = value->asUInt64();
    return true;
}

bool ObjectReader::readReal(std::string_view key, double &out, Bounds<double> bounds, Need need)
{
    const Json::Value *value = find(key, need);
    if (!value || !isNumber(key, *value))
        return false;
    const double number = value->asDouble();
    if (!std::isfinite(number) || number < bounds.least || number > bounds.most) {
        refuse(key, TextRule::OutOfBounds,
               "a number from " + shortNumber(bounds.least) + " to " + shortNumber(bounds.most)
                   + " is wanted");
        return false;
    }
    out = number;
    return true;
}

bool ObjectReader::readSeconds(std::string_view key, Duration &out, Bounds<double> bounds,
                               Need need)
{
    double seconds = 0;
    if (!readReal(key, seconds, bounds, need))
        return false;
    out = std::chrono::round<Duration>(std::chrono::duration<double>(seconds));
    return true;
}

bool ObjectReader::readEndpoint(std::string_view key, Endpoint &out, Need need)
{
    std::string_view view;
    if (!readView(key, view, need))
        return false;
    const std::optional<Endpoint> endpoint = parseCanonicalEndpoint(view);
    if (!endpoint) {
        refuse(key, TextRule::MalformedEndpoint,
               inQuotes(view)
                   + ": IP:PORT in numbers is wanted, such as 10.0.0.1:8000 or [::1]:80");
        return false;
    }
    out = *endpoint;
    return true;
}

bool ObjectReader::readEntry(const Json::Value &value, const ValuePath &path, std::string &out)
{
    if (!value.isString()) {
        m_reading.refuse(value, path, TextRule::WrongType, "a string is wanted");
        return false;
    }
    out = viewOf(value);
    return true;
}

bool ObjectReader::readNames(std::string_view key, std::vector<std::string> &out,
                             const KnownNames *names, Need need)
{
    std::vector<std::string> read;
    std::set<std::string, std::less<>> seen;
    const bool isList = forEach(key, need, [&](const Json::Value &value, const ValuePath &path) {
        std::string text;
        if (!readEntry(value, path, text))
            return;
        if (!seen.insert(text).second)
            m_reading.refuse(value, path, TextRule::DuplicateName,
                             inQuotes(text) + " stands twice");
        else if (names && !names->has(text))
            m_reading.refuse(value, path, TextRule::UnknownReference,
                             "there is no " + std::string(names->kind()) + " " + inQuotes(text));
        else if (!names && !isName(text))
            m_reading.refuse(value, path, TextRule::MalformedName,
                             inQuotes(text) + ": " + std::string(NameShape));
        else
            read.push_back(std::move(text));
    });
    if (isList)
        out = std::move(read);
    return isList;
}

bool ObjectReader::forEach(std::string_view key, Need need,
                           const std::function<void(const Json::Value &, const ValuePath &)> &visit)
{
    const Json::Value *list = find(key, need);
    if (!list)
        return false;
    if (!list->isArray()) {
        refuse(key, TextRule::WrongType, "a list is wanted");
        return false;
    }
    const ValuePath path {&m_path, key};
    std::size_t index = 0;
    for (const Json::Value &value : *list)
        visit(value, {&path, {}, index++});
    return true;
}

bool ObjectReader::forEachObject(std::string_view key, Need need,
                                 const std::function<void(ObjectReader &)> &visit)
{
    return forEach(key, need, [&](const Json::Value &value, const ValuePath &path) {
        readObject(value, path, visit);
    });
}

bool ObjectReader::visitObject(std::string_view key, Need need,
                               const std::function<void(ObjectReader &)> &visit)
{
    const Json::Value *value = find(key, need);
    if (!value)
        return false;
    readObject(*value, {&m_path, key}, visit);
    return true;
}

void ObjectReader::readObject(const Json::Value &value, const ValuePath &path,
                              const std::function<void(ObjectReader &)> &visit)
{
    ObjectReader entry(m_reading, value, path);
    if (!entry.isObject())
        return;
    visit(entry);
    entry.refuseUnknownKeys();
}

} // namespace Apricothook
