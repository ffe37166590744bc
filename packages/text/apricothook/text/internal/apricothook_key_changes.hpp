#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>
#include <apricothook/text/apricothook_text_change.hpp>
#include <apricothook/text/internal/apricothook_value_checks.hpp>

#include <algorithm>
#include <concepts>
#include <initializer_list>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Apricothook {

template <std::integral Value>
std::string writingOf(Value value)
{
    return std::to_string(value);
}

inline std::string writingOf(bool value)
{
    return value ? "true" : "false";
}

inline std::string writingOf(double value)
{
    return shortNumber(value);
}

inline std::string writingOf(Duration value)
{
    return shortNumber(std::chrono::duration<double>(value).count());
}

inline std::string writingOf(const std::string &value)
{
    return value.empty() ? "none" : value;
}

inline std::string writingOf(const Endpoint &value)
{
    return value.text();
}

inline std::string writingOf(Tier value)
{
    return std::to_string(value.rank());
}

template <typename Kind>
std::string writingOf(const Name<Kind> &value)
{
    return writingOf(value.text());
}

template <typename Value>
std::string writingOf(const std::vector<Value> &values)
{
    std::string writing;
    for (const Value &value : values)
        writing += (writing.empty() ? "" : ", ") + writingOf(value);
    return "[" + writing + "]";
}

/** Collects the keys that differ between two things of one name, and what that brings about. */
class KeyChanges
{
public:
    /** Notes a key when its values differ, with the effects of that. */
    template <typename Value>
    void compare(std::string_view key, const Value &before, const Value &after,
                 std::initializer_list<ChangeEffect> effects = {})
    {
        if (before == after)
            return;
        m_keys.push_back({std::string(key), writingOf(before), writingOf(after)});
        m_effects.insert(effects);
    }

    void add(ChangeEffect effect) { m_effects.insert(effect); }
    void add(ModelLoad load)
    {
        m_effects.insert(ChangeEffect::Loads);
        m_loads.push_back(std::move(load));
    }

    bool isEmpty() const { return m_keys.empty() && m_effects.empty(); }
    TextChange take(TextSection section, ChangeKind kind, std::string subject)
    {
        return {section,
                kind,
                std::move(subject),
                std::move(m_keys),
                {m_effects.begin(), m_effects.end()},
                std::move(m_loads)};
    }

private:
    std::vector<KeyChange> m_keys;
    std::set<ChangeEffect> m_effects;
    std::vector<ModelLoad> m_loads;
};

} // namespace Apricothook
