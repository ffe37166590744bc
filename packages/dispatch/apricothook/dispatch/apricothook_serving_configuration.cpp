#include <apricothook/dispatch/apricothook_serving_configuration.hpp>

#include <algorithm>

namespace Apricothook {

std::map<ServiceId, Duration> gapObjectivesOf(const ServingConfiguration &configuration)
{
    std::map<ServiceId, Duration> objectives;
    for (const RouteRule &route : configuration.routes) {
        if (!route.isStream || route.gapObjective <= Duration::zero())
            continue;
        for (const WeightedService &weighted : route.services) {
            const auto [found, isNew]
                = objectives.try_emplace(weighted.service, route.gapObjective);
            found->second = std::min(found->second, route.gapObjective);
        }
    }
    return objectives;
}

} // namespace Apricothook
