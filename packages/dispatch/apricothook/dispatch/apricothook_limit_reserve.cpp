#include <apricothook/dispatch/apricothook_limit_reserve.hpp>

#include <algorithm>

namespace Apricothook {

void LimitReserve::recordUnits(LimitUnit unit, const RouteRule &route, double units)
{
    WorthOrder &order = unit == LimitUnit::Tokens ? m_byTokens : m_byRequests;
    order.note(route.name, route.tier, units);
}

double LimitReserve::reservedFraction(LimitUnit unit, const RouteRule &route) const
{
    const WorthOrder &order = unit == LimitUnit::Tokens ? m_byTokens : m_byRequests;
    return std::min(PartForEachHalving * order.halvings(route.name, route.tier), MostReserved);
}

} // namespace Apricothook
