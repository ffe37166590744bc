#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>
#include <apricothook/text/internal/apricothook_text_reading.hpp>
#include <apricothook/text/internal/apricothook_value_path.hpp>

#include <json/value.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothook {

class KnownNames;

enum class Need { Required, Optional };

/** Bounds of a number, both allowed. */
template <typename Value>
struct Bounds
{
    Value least;
    Value most;
};

template <typename Value>
struct Word
{
    std::string_view text;
    Value value;
};

/**
 * Reads the keys of one JSON object into typed values and collects every error on the way. Each
 * function returns whether the key is there and good; otherwise the value keeps what it was. A key
 * that no function asked for is unknown: refuseUnknownKeys() comes last.
 */
class ObjectReader
{
public:
    /** Refuses a value that isn't an object; such a reader finds no key and refuses no more. */
    ObjectReader(TextReading &reading, const Json::Value &value, const ValuePath &path);

    TextReading &reading() const { return m_reading; }
    bool isObject() const { return m_isObject; }
    /** Whether the key is there; makes it known. */
    bool has(std::string_view key);
    bool isEmptyList(std::string_view key) const;

    bool readString(std::string_view key, std::string &out, Need need);
    bool readName(std::string_view key, std::string &out, Need need);
    /** A name that nothing else of its kind has; adds it to the names. */
    bool readNewName(std::string_view key, std::string &out, KnownNames &names);
    /** The name of something that the text has. */
    bool readReference(std::string_view key, std::string &out, const KnownNames &names, Need need);
    bool readFlag(std::string_view key, bool &out, Need need);
    bool readWhole(std::string_view key, std::uint64_t &out, Bounds<std::uint64_t> bounds,
                   Need need);
    bool readReal(std::string_view key, double &out, Bounds<double> bounds, Need need);
    bool readSeconds(std::string_view key, Duration &out, Bounds<double> bounds, Need need);
    bool readEndpoint(std::string_view key, Endpoint &out, Need need);
    /** Distinct names, each known if @p names is given. */
    bool readNames(std::string_view key, std::vector<std::string> &out, const KnownNames *names,
                   Need need);

    template <typename Kind>
    bool readName(std::string_view key, Name<Kind> &out, Need need);
    template <typename Kind>
    bool readNewName(std::string_view key, Name<Kind> &out, KnownNames &names);
    template <typename Kind>
    bool readReference(std::string_view key, Name<Kind> &out, const KnownNames &names, Need need);
    template <typename Kind>
    bool readReferences(std::string_view key, std::vector<Name<Kind>> &out, const KnownNames &names,
                        Need need);
    template <typename Whole>
    bool readWhole(std::string_view key, Whole &out, Bounds<std::uint64_t> bounds, Need need);
    template <typename Value, std::size_t Count>
    bool readWord(std::string_view key, Value &out, const Word<Value> (&words)[Count], Need need);

    /** Calls back with each entry of a list; false when there is no list. */
    bool forEach(std::string_view key, Need need,
                 const std::function<void(const Json::Value &, const ValuePath &)> &visit);
    /** Calls back with a reader for each object of a list and refuses its unknown keys after. */
    bool forEachObject(std::string_view key, Need need,
                       const std::function<void(ObjectReader &)> &visit);

    /** The same for one object. */
    bool visitObject(std::string_view key, Need need,
                     const std::function<void(ObjectReader &)> &visit);

    /** Refuses the value of a key, or the object when it has no such key. */
    void refuse(std::string_view key, TextRule rule, std::string detail);
    void refuseUnknownKeys();
    /** Refuses the object because the key is missing. */
    void refuseMissing(std::string_view key);

private:
    const Json::Value *find(std::string_view key, Need need);
    const Json::Value *member(std::string_view key) const;
    bool readView(std::string_view key, std::string_view &out, Need need);
    bool isNumber(std::string_view key, const Json::Value &value);
    void readObject(const Json::Value &value, const ValuePath &path,
                    const std::function<void(ObjectReader &)> &visit);
    bool readEntry(const Json::Value &value, const ValuePath &path, std::string &out);

    TextReading &m_reading;
    const Json::Value &m_value;
    const ValuePath &m_path;
    std::vector<std::string_view> m_known;
    bool m_isObject = false;
};

template <typename Kind>
bool ObjectReader::readName(std::string_view key, Name<Kind> &out, Need need)
{
    std::string text;
    if (!readName(key, text, need))
        return false;
    out = Name<Kind>(std::move(text));
    return true;
}

template <typename Kind>
bool ObjectReader::readNewName(std::string_view key, Name<Kind> &out, KnownNames &names)
{
    std::string text;
    if (!readNewName(key, text, names))
        return false;
    out = Name<Kind>(std::move(text));
    return true;
}

template <typename Kind>
bool ObjectReader::readReference(std::string_view key, Name<Kind> &out, const KnownNames &names,
                                 Need need)
{
    std::string text;
    if (!readReference(key, text, names, need))
        return false;
    out = Name<Kind>(std::move(text));
    return true;
}

template <typename Kind>
bool ObjectReader::readReferences(std::string_view key, std::vector<Name<Kind>> &out,
                                  const KnownNames &names, Need need)
{
    std::vector<std::string> texts;
    if (!readNames(key, texts, &names, need))
        return false;
    out.clear();
    for (std::string &text : texts)
        out.emplace_back(std::move(text));
    return true;
}

template <typename Whole>
bool ObjectReader::readWhole(std::string_view key, Whole &out, Bounds<std::uint64_t> bounds,
                             Need need)
{
    std::uint64_t wide = 0;
    if (!readWhole(key, wide, bounds, need))
        return false;
    out = static_cast<Whole>(wide);
    return true;
}

template <typename Value, std::size_t Count>
bool ObjectReader::readWord(std::string_view key, Value &out, const Word<Value> (&words)[Count],
                            Need need)
{
    std::string_view text;
    if (!readView(key, text, need))
        return false;
    std::string choices;
    for (const Word<Value> &word : words) {
        if (word.text == text) {
            out = word.value;
            return true;
        }
        choices += choices.empty() ? "" : ", ";
        choices += word.text;
    }
    refuse(key, TextRule::UnknownWord, "one of " + choices);
    return false;
}

} // namespace Apricothook
