#include <apricothook/dispatch/apricothook_route_urgency.hpp>

#include <algorithm>
#include <cmath>

namespace Apricothook {

namespace {

/** Below it a hold is mostly the way to the target and back. */
constexpr double ShortestHold = 10;

} // namespace

double RouteUrgency::worth(Tier tier, const MovingMean &hold)
{
    const double held = std::max(hold.value().value_or(DefaultHold), ShortestHold);
    return std::pow(TierFactor, -static_cast<double>(tier.rank())) / held;
}

void RouteUrgency::noteHold(const ServiceId &service, const ClassId &route, Tier tier,
                            Duration held)
{
    Learned &learned = m_services[service][route];
    learned.tier = tier;
    learned.hold.add(std::chrono::duration<double, std::milli>(held).count());
}

Tier RouteUrgency::tierOf(const ServiceId &service, const ClassId &route, Tier tier) const
{
    const auto routes = m_services.find(service);
    if (routes == m_services.end())
        return tier;
    const auto own = routes->second.find(route);
    const double worthOfOwn
        = worth(tier, own == routes->second.end() ? MovingMean() : own->second.hold);
    double best = worthOfOwn;
    for (const auto &[name, learned] : routes->second)
        best = std::max(best, worth(learned.tier, learned.hold));
    const double halvings = std::floor(std::log2(best / worthOfOwn));
    return Tier(static_cast<std::uint8_t>(std::min<double>(1 + halvings, LowestTierRank)));
}

} // namespace Apricothook
