#pragma once

#include <apricothook/serving/apricothook_lookup_protocol.hpp>

#include <map>
#include <vector>

namespace Apricothook {

/** A daemon that serves callers. */
struct LookupCandidate
{
    Endpoint address;
    DataCentreId dataCentre;

    auto operator<=>(const LookupCandidate &) const = default;
};

/** Limit of addresses in a lookup response. */
constexpr std::size_t MaximumLookupAddresses = 64;

/**
 * Selects the addresses for a caller. Addresses in its own data centre are preferred, as traffic
 * between data centres costs time and money. A single address would leave its callers without a
 * daemon if it dies, so with fewer than two the whole region is used, then the whole fleet.
 */
std::vector<Endpoint> nearestAddresses(const std::vector<LookupCandidate> &ready,
                                       const std::map<DataCentreId, RegionId> &regions,
                                       const LookupRequest &request);

} // namespace Apricothook
