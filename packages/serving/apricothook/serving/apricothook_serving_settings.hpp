#pragma once

#include <apricothook/dispatch/apricothook_policy_switches.hpp>
#include <apricothook/dispatch/apricothook_serving_configuration.hpp>
#include <apricothook/gateway/apricothook_caller_resources.hpp>
#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>

#include <map>
#include <vector>

namespace Apricothook {

/** Settings of a serving daemon, read at its start. */
struct ServingSettings
{
    MemberId member;
    DataCentreId dataCentre;
    RegionId region;
    /** The region of every data centre. */
    std::map<DataCentreId, RegionId> regions;
    /** Share of a CPU core in hundredths; larger daemons are preferred as readers and grantors. */
    std::uint32_t capacity = 100;
    Endpoint callerAddress;
    Endpoint readinessAddress;
    Endpoint lookupAddress;
    /** Serves published items to peers, and the metrics. */
    Endpoint controlAddress;
    Endpoint peerAddress;
    /** The whole fleet starts for the first time; it can have forgotten nothing. */
    bool isFirstStart = false;
    /** Heartbeat addresses of some daemons, possibly outdated. */
    std::vector<Endpoint> seeds;
    /** Service at which the configuration and the targets are published. */
    Endpoint itemSource;
    ProcessLimits process;
    FleetBounds bounds;
    PolicySwitches policies;

    auto operator<=>(const ServingSettings &) const = default;
};

} // namespace Apricothook
