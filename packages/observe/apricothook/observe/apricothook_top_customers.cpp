#include <apricothook/observe/apricothook_top_customers.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr Duration DecayPeriod = std::chrono::seconds(60);
constexpr double DecayFactor = 0.5;
constexpr double RemovalThreshold = 0.05;
constexpr double ReplacementRatio = 1.5;

} // namespace

void TopCustomers::count(const CustomerId &customer)
{
    m_counts[customer] += 1;
    if (m_selected.size() < m_limit)
        m_selected.insert(customer);
}

std::optional<CustomerId> TopCustomers::update(Instant now)
{
    if (now - m_lastDecay >= DecayPeriod) {
        m_lastDecay = now;
        decay();
    }
    if (m_selected.size() < m_limit)
        return std::nullopt;
    const auto busiest = busiestUnselected();
    const auto quietest = quietestSelected();
    if (busiest == m_counts.end() || quietest == m_counts.end()
        || busiest->second < quietest->second * ReplacementRatio)
        return std::nullopt;
    const CustomerId removed = quietest->first;
    m_selected.erase(removed);
    m_selected.insert(busiest->first);
    return removed;
}

void TopCustomers::decay()
{
    for (auto &[customer, count] : m_counts)
        count *= DecayFactor;
    std::erase_if(m_counts, [this](const auto &entry) {
        return entry.second < RemovalThreshold && !m_selected.contains(entry.first);
    });
}

TopCustomers::Counts::iterator TopCustomers::busiestUnselected()
{
    auto busiest = m_counts.end();
    for (auto entry = m_counts.begin(); entry != m_counts.end(); ++entry) {
        if (!has(entry->first) && (busiest == m_counts.end() || entry->second > busiest->second))
            busiest = entry;
    }
    return busiest;
}

TopCustomers::Counts::iterator TopCustomers::quietestSelected()
{
    auto quietest = m_counts.end();
    for (auto entry = m_counts.begin(); entry != m_counts.end(); ++entry) {
        if (has(entry->first) && (quietest == m_counts.end() || entry->second < quietest->second))
            quietest = entry;
    }
    return quietest;
}

} // namespace Apricothook
