#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/text/internal/apricothook_known_names.hpp>

#include <map>
#include <set>
#include <string>

namespace Apricothook {

/** What the sections read so far have, for the references of those to come. */
struct TextReferences
{
    KnownNames dataCentres {"data centre"};
    KnownNames regions {"region"};
    KnownNames members {"daemon"};
    KnownNames models {"model"};
    KnownNames services {"service"};
    KnownNames targets {"target"};
    KnownNames customers {"customer"};
    KnownNames classes {"class"};
    std::map<DataCentreId, RegionId> regionOf;
    /** Regions that a daemon of the roster is in. */
    std::set<RegionId> regionsWithDaemon;
    std::map<ServiceId, ServiceKind> kindOf;
    /** Each address and the target that has it. */
    std::map<Endpoint, TargetId> addresses;
    /** Each key hash and the customer that has it. */
    std::map<std::string, CustomerId> keyHashes;
};

} // namespace Apricothook
