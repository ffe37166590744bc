#pragma once

#include <apricothook/fleetview/apricothook_peer_datagram.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <map>
#include <vector>

namespace Apricothook {

/** The own cell's weight and that of all others together, in live daemons. */
struct CellBalance
{
    std::uint32_t own = 1;
    std::uint32_t others = 0;

    auto operator<=>(const CellBalance &) const = default;
};

/**
 * What the other cells admit of each customer, from their summaries and from the own cell.
 *
 * A summary is about a second old, and a customer that suddenly sends eight times as much would get
 * all cells' admissions of that second beyond its limit. Callers spread over the daemons, so what
 * the own cell admits shows the surge half a second after it begins: the others are taken to admit
 * most of the same, each by its weight, unless their summaries tell more.
 */
class OtherCellsUse
{
public:
    /** Part of the own cell's rate that the others are taken to have; the rest is for chance. */
    static constexpr double OwnPart = 0.8;
    /**
     * Daemons from which the own cell stands for the others. When all have restarted, the first
     * ones get everybody's callers for some seconds.
     */
    static constexpr std::uint32_t FewestDaemons = 4;

    void note(std::uint32_t cell, const std::vector<CustomerRate> &rates, Instant now);
    /** Drops cells from `cells` on, and what is older than `limit`. */
    void forget(std::uint32_t cells, Duration limit, Instant now);
    /** The other cells' rates together; `ownRates` are those that aren't chance. */
    std::vector<CustomerRate> estimate(const std::vector<CustomerRate> &ownRates,
                                       const CellBalance &balance) const;

private:
    struct Told
    {
        std::vector<CustomerRate> rates;
        Instant heard {};
    };

    std::map<std::uint32_t, Told> m_cells;
};

} // namespace Apricothook
