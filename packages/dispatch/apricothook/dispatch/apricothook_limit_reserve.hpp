#pragma once

#include <apricothook/dispatch/apricothook_route_value_ranking.hpp>
#include <apricothook/dispatch/apricothook_serving_configuration.hpp>

namespace Apricothook {

/**
 * Which requests of a customer are admitted while it asks for more than its limit.
 *
 * Load pattern: for some seconds a customer sends several times its rate, of all its routes alike.
 * Whoever comes first takes the units, so an urgent request is refused for the sake of several that
 * are worth a tenth of it. Here a route must leave a part of the bucket to those whose requests are
 * worth more for a unit. The level then stays where just the least of them wait, and the limit is
 * used up as before.
 *
 * Over 27 plays of three fleets in surges the worth rose by 0.013 (standard error 0.002), and the
 * share of requests that isn't served from 0.058 to 0.064.
 */
class LimitReserve
{
public:
    /**
     * Part of the bucket to be left for each halving of a route's worth for a unit. With twice as
     * much the least urgent routes were refused so often that half of the gain was lost.
     */
    static constexpr double PartForEachHalving = 0.05;
    /** A surge ends; what was never given out by then was kept from everybody. */
    static constexpr double MostReserved = 0.2;

    /** Learns what a request of the route asks for. */
    void recordUnits(LimitUnit unit, const RouteRule &route, double units);
    /** Part of a customer's bucket that a request of the route may not use, 0 to MostReserved. */
    double reservedFraction(LimitUnit unit, const RouteRule &route) const;

private:
    /** A request without a stated size, until there are samples. */
    static constexpr double UsualUnits = 1000;
    static constexpr double LeastUnits = 1;

    /** Routes of customers whose limit counts tokens; where it counts requests all cost one. */
    WorthOrder m_byTokens {UsualUnits, LeastUnits};
    WorthOrder m_byRequests {LeastUnits, LeastUnits};
};

} // namespace Apricothook
