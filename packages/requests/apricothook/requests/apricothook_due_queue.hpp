#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace Apricothook {

/** One due time per item; finding and changing one costs the logarithm of their number. */
template <typename Id>
class DueQueue
{
public:
    /** Replaces the item's earlier due time. */
    void set(const Id &id, Instant due)
    {
        remove(id);
        m_due.emplace(id, due);
        m_order.emplace(due, id);
    }

    void remove(const Id &id)
    {
        const auto found = m_due.find(id);
        if (found == m_due.end())
            return;
        m_order.erase({found->second, id});
        m_due.erase(found);
    }

    std::optional<Id> popDue(Instant now)
    {
        if (m_order.empty() || m_order.begin()->first > now)
            return std::nullopt;
        const Id id = m_order.begin()->second;
        remove(id);
        return id;
    }

    std::optional<Instant> next() const
    {
        if (m_order.empty())
            return std::nullopt;
        return m_order.begin()->first;
    }

private:
    std::unordered_map<Id, Instant> m_due;
    std::set<std::pair<Instant, Id>> m_order;
};

} // namespace Apricothook
