#include <apricothook/dispatch/apricothook_route_urgency.hpp>

#include <algorithm>

namespace Apricothook {

void RouteUrgency::recordHoldTime(const ServiceId &service, const ClassId &route, Tier tier,
                                  Duration held)
{
    RouteValueRanking &order
        = m_services.try_emplace(service, DefaultHoldTime, ShortestHoldTime).first->second;
    order.recordCost(route, tier, std::chrono::duration<double, std::milli>(held).count());
}

Tier RouteUrgency::tierOf(const ServiceId &service, const ClassId &route, Tier tier) const
{
    const auto order = m_services.find(service);
    if (order == m_services.end())
        return tier;
    const double rank = 1 + order->second.halvingsBelowBest(route, tier);
    return Tier(static_cast<std::uint8_t>(std::min<double>(rank, LowestTierRank)));
}

} // namespace Apricothook
