#pragma once

#include <apricothook/dispatch/apricothook_customer_allowance.hpp>
#include <apricothook/fleetview/apricothook_peer_datagram.hpp>
#include <apricothook/fleetview/apricothook_rate_meter.hpp>
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
 * all cells' admissions of that second beyond its limit. Callers spread over the daemons, so the
 * others are taken to admit most of what the own cell does, each by its weight, until they tell.
 */
class OtherCellsUse
{
public:
    /** Part of the own cell's use that the others are taken to have; the rest is for chance. */
    static constexpr double OwnPart = 0.9;
    /**
     * Rates are those of the last RateMeter::Window, and a summary comes almost as long after the
     * one before it: what a cell admits is told within two windows.
     */
    static constexpr double UntoldWindows = 2;
    /**
     * Daemons from which the own cell stands for the others. When all have restarted, the first
     * ones get everybody's callers for some seconds.
     */
    static constexpr std::uint32_t FewestDaemons = 4;

    void note(std::uint32_t cell, const std::vector<CustomerRate> &rates, Instant now);
    /** Drops cells from `cells` on, and what is older than `limit`. */
    void forget(std::uint32_t cells, Duration limit, Instant now);
    /** The other cells' use since the last count, `seconds` ago, as far as told and expected. */
    std::vector<UseElsewhere> count(const std::vector<RecentUse> &own, const CellBalance &balance,
                                    double seconds) const;

private:
    struct Told
    {
        std::vector<CustomerRate> rates;
        Instant heard {};
    };

    std::map<std::uint32_t, Told> m_cells;
};

} // namespace Apricothook
