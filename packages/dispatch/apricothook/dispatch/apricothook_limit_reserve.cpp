#include <apricothook/dispatch/apricothook_limit_reserve.hpp>

#include <algorithm>

namespace Apricothook {

void LimitReserve::recordUnits(LimitUnit unit, const RouteRule &route, double units)
{
    RouteValueRanking &order = unit == LimitUnit::Tokens ? m_byTokens : m_byRequests;
    order.recordCost(route.name, route.tier, units);
}

double LimitReserve::reservedFraction(LimitUnit unit, const RouteRule &route) const
{
    const RouteValueRanking &order = unit == LimitUnit::Tokens ? m_byTokens : m_byRequests;
    return std::min(FractionPerHalving * order.halvingsBelowBest(route.name, route.tier),
                    LargestReservedFraction);
}

} // namespace Apricothook
