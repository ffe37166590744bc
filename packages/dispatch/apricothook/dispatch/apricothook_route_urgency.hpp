#pragma once

#include <apricothook/dispatch/apricothook_route_value_ranking.hpp>
#include <apricothook/dispatch/apricothook_serving_configuration.hpp>

#include <map>

namespace Apricothook {

/**
 * Orders the routes of a service by the value of their requests per slot time.
 *
 * If there is capacity for only part of the requests, strict tiers would shut out short requests of
 * a low tier that take almost nothing from the tiers above. The result is a tier again, one for
 * each halving of the value.
 */
class RouteUrgency
{
public:
    /** Milliseconds, until there are samples. */
    static constexpr double DefaultHoldTime = 500;
    /** Milliseconds; shorter times consist mostly of the round trip to the target. */
    static constexpr double ShortestHoldTime = 10;

    void recordHoldTime(const ServiceId &service, const ClassId &route, Tier tier, Duration held);
    Tier tierOf(const ServiceId &service, const ClassId &route, Tier tier) const;

private:
    std::map<ServiceId, RouteValueRanking> m_services;
};

} // namespace Apricothook
