#pragma once

#include <cstdint>
#include <map>
#include <vector>

namespace Apricothook {

/**
 * Numbers values that many records share (customers, targets, daemon lives), so that a record holds
 * four bytes in place of a string. Values are never removed: a process meets a few thousand.
 */
template <typename T>
class NameTable
{
public:
    std::uint32_t numberOf(const T &value)
    {
        const auto [entry, isNew]
            = m_numbers.emplace(value, static_cast<std::uint32_t>(m_values.size()));
        if (isNew)
            m_values.push_back(value);
        return entry->second;
    }
    const T &valueOf(std::uint32_t number) const { return m_values[number]; }

private:
    std::map<T, std::uint32_t> m_numbers;
    std::vector<T> m_values;
};

} // namespace Apricothook
