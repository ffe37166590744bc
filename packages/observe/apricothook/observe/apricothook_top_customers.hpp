#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace Apricothook {

/**
 * Selects the customers that get metric series of their own; all others are counted under "other".
 * With 2,500 customers, a histogram for each would be about forty thousand series per daemon,
 * although most of a daemon's traffic comes from a few customers.
 *
 * Request counts decay by half in each period. A customer replaces the selected one with the least
 * traffic only if it has clearly more, so that two customers with similar traffic don't keep
 * replacing each other and losing their history.
 */
class TopCustomers
{
public:
    explicit TopCustomers(std::size_t limit) : m_limit(limit) { }

    void count(const CustomerId &customer);
    bool has(const CustomerId &customer) const { return m_selected.contains(customer); }
    /** Updates the selection and returns the customer that was removed from it, if any. */
    std::optional<CustomerId> update(Instant now);

private:
    using Counts = std::unordered_map<CustomerId, double>;

    void decay();
    Counts::iterator busiestUnselected();
    Counts::iterator quietestSelected();

    std::size_t m_limit;
    Counts m_counts;
    std::unordered_set<CustomerId> m_selected;
    Instant m_lastDecay {};
};

} // namespace Apricothook
