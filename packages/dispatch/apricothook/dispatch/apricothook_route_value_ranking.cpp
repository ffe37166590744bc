#include <apricothook/dispatch/apricothook_route_value_ranking.hpp>

#include <algorithm>
#include <cmath>

namespace Apricothook {

double RouteValueRanking::valuePerCost(Tier tier, const MovingAverage &cost) const
{
    const double meanCost = std::max(cost.value().value_or(m_defaultCost), m_minimumCost);
    return std::pow(TierFactor, -static_cast<double>(tier.rank())) / meanCost;
}

void RouteValueRanking::recordCost(const ClassId &route, Tier tier, double cost)
{
    LearnedCost &learned = m_routes[route];
    learned.tier = tier;
    learned.mean.add(cost);
}

double RouteValueRanking::halvingsBelowBest(const ClassId &route, Tier tier) const
{
    const auto own = m_routes.find(route);
    const double ownValue
        = valuePerCost(tier, own == m_routes.end() ? MovingAverage() : own->second.mean);
    double bestValue = ownValue;
    for (const auto &[name, learned] : m_routes)
        bestValue = std::max(bestValue, valuePerCost(learned.tier, learned.mean));
    return std::floor(std::log2(bestValue / ownValue));
}

} // namespace Apricothook
