#pragma once

#include <apricothook/dispatch/apricothook_route_value_ranking.hpp>
#include <apricothook/dispatch/apricothook_serving_configuration.hpp>

#include <map>

namespace Apricothook {

/**
 * Orders the routes of a service by what their requests are worth for the time that they hold a
 * slot.
 *
 * With room for only a part of the requests, strict tiers would shut out short work of a low tier
 * that takes almost nothing from the tiers above. The result is a tier again, one for each halving
 * of the worth.
 */
class RouteUrgency
{
public:
    /** Milliseconds until the first samples. */
    static constexpr double DefaultHold = 500;
    /** Milliseconds below which a hold is mostly the way to the target and back. */
    static constexpr double ShortestHold = 10;

    void recordHoldTime(const ServiceId &service, const ClassId &route, Tier tier, Duration held);
    Tier tierOf(const ServiceId &service, const ClassId &route, Tier tier) const;

private:
    std::map<ServiceId, WorthOrder> m_services;
};

} // namespace Apricothook
