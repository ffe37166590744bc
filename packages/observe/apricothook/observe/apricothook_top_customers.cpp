#include <apricothook/observe/apricothook_top_customers.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr Duration Period = std::chrono::seconds(60);
constexpr double Fading = 0.5;
constexpr double Forgotten = 0.05;
constexpr double Advantage = 1.5;

} // namespace

void TopCustomers::count(const CustomerId &customer)
{
    m_counts[customer] += 1;
    if (m_chosen.size() < m_places)
        m_chosen.insert(customer);
}

std::optional<CustomerId> TopCustomers::rank(Instant now)
{
    if (now - m_fadedAt >= Period) {
        m_fadedAt = now;
        fade();
    }
    if (m_chosen.size() < m_places)
        return std::nullopt;
    const auto strongest = strongestOutside();
    const auto weakest = weakestInside();
    if (strongest == m_counts.end() || weakest == m_counts.end()
        || strongest->second < weakest->second * Advantage)
        return std::nullopt;
    const CustomerId lost = weakest->first;
    m_chosen.erase(lost);
    m_chosen.insert(strongest->first);
    return lost;
}

void TopCustomers::fade()
{
    for (auto &[customer, count] : m_counts)
        count *= Fading;
    std::erase_if(m_counts, [this](const auto &entry) {
        return entry.second < Forgotten && !m_chosen.contains(entry.first);
    });
}

TopCustomers::Counts::iterator TopCustomers::strongestOutside()
{
    auto strongest = m_counts.end();
    for (auto entry = m_counts.begin(); entry != m_counts.end(); ++entry) {
        if (!has(entry->first)
            && (strongest == m_counts.end() || entry->second > strongest->second))
            strongest = entry;
    }
    return strongest;
}

TopCustomers::Counts::iterator TopCustomers::weakestInside()
{
    auto weakest = m_counts.end();
    for (auto entry = m_counts.begin(); entry != m_counts.end(); ++entry) {
        if (has(entry->first) && (weakest == m_counts.end() || entry->second < weakest->second))
            weakest = entry;
    }
    return weakest;
}

} // namespace Apricothook
