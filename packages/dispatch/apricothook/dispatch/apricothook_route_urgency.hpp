#pragma once

#include <apricothook/dispatch/apricothook_serving_configuration.hpp>
#include <apricothook/dispatch/apricothook_target_speed.hpp>

#include <map>

namespace Apricothook {

/**
 * Orders the routes of a service by what their requests are worth for the time that they hold a
 * slot.
 *
 * With room for only a part of the requests, strict tiers would shut out short work of a low tier
 * that takes almost nothing from the tiers above. So a tier counts TierFactor times the next one,
 * and is divided by the route's learned mean hold; the result is a tier again, one for each
 * halving. Single requests aren't told apart by size, or the longest of a route would never run.
 */
class RouteUrgency
{
public:
    /** Worth of a tier against the one below it. */
    static constexpr double TierFactor = 4;
    /** Milliseconds until the first samples. */
    static constexpr double DefaultHold = 500;

    void noteHold(const ServiceId &service, const ClassId &route, Tier tier, Duration held);
    Tier tierOf(const ServiceId &service, const ClassId &route, Tier tier) const;

private:
    struct Learned
    {
        Tier tier;
        MovingMean hold;
    };
    using Routes = std::map<ClassId, Learned>;

    static double worth(Tier tier, const MovingMean &hold);

    std::map<ServiceId, Routes> m_services;
};

} // namespace Apricothook
