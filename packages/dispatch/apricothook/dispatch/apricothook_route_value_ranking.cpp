#include <apricothook/dispatch/apricothook_route_value_ranking.hpp>

#include <algorithm>
#include <cmath>

namespace Apricothook {

double WorthOrder::worth(Tier tier, const MovingMean &cost) const
{
    const double spent = std::max(cost.value().value_or(m_usual), m_least);
    return std::pow(TierFactor, -static_cast<double>(tier.rank())) / spent;
}

void WorthOrder::note(const ClassId &route, Tier tier, double cost)
{
    Learned &learned = m_routes[route];
    learned.tier = tier;
    learned.cost.add(cost);
}

double WorthOrder::halvings(const ClassId &route, Tier tier) const
{
    const auto own = m_routes.find(route);
    const double worthOfOwn = worth(tier, own == m_routes.end() ? MovingMean() : own->second.cost);
    double best = worthOfOwn;
    for (const auto &[name, learned] : m_routes)
        best = std::max(best, worth(learned.tier, learned.cost));
    return std::floor(std::log2(best / worthOfOwn));
}

} // namespace Apricothook
