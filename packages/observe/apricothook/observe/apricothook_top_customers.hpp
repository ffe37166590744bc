#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace Apricothook {

/**
 * Chooses the few customers that get series of their own; all others share "other". At 2,500
 * customers a histogram for each would be some forty thousand series for every daemon, though a
 * daemon sees much of its traffic from few of them.
 *
 * Counts fade by half in each period. A customer takes the place of the weakest one in only when it
 * has clearly more traffic, so that two alike don't swap places, and lose their history, each time.
 */
class TopCustomers
{
public:
    explicit TopCustomers(std::size_t places) : m_places(places) { }

    /** Counts a request. */
    void count(const CustomerId &customer);
    bool has(const CustomerId &customer) const { return m_chosen.contains(customer); }
    /** Call now and then; the customer that lost its place, if any. */
    std::optional<CustomerId> rank(Instant now);

private:
    using Counts = std::unordered_map<CustomerId, double>;

    void fade();
    Counts::iterator strongestOutside();
    Counts::iterator weakestInside();

    std::size_t m_places;
    Counts m_counts;
    std::unordered_set<CustomerId> m_chosen;
    Instant m_fadedAt {};
};

} // namespace Apricothook
