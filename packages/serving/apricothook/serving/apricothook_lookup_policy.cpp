#include <apricothook/serving/apricothook_lookup_policy.hpp>

namespace Apricothook {

namespace {

constexpr std::size_t MinimumAddresses = 2;

template <typename IsNear>
std::vector<Endpoint> select(const std::vector<LookupCandidate> &ready, const IsNear &isNear)
{
    std::vector<Endpoint> addresses;
    for (const LookupCandidate &entry : ready) {
        if (isNear(entry) && addresses.size() < MaximumLookupAddresses)
            addresses.push_back(entry.address);
    }
    return addresses;
}

} // namespace

std::vector<Endpoint> nearestAddresses(const std::vector<LookupCandidate> &ready,
                                       const std::map<DataCentreId, RegionId> &regions,
                                       const LookupRequest &request)
{
    const auto inDataCentre
        = [&](const LookupCandidate &entry) { return entry.dataCentre == request.dataCentre; };
    const auto inRegion = [&](const LookupCandidate &entry) {
        const auto region = regions.find(entry.dataCentre);
        return region != regions.end() && region->second == request.region;
    };
    if (auto near = select(ready, inDataCentre); near.size() >= MinimumAddresses)
        return near;
    if (auto near = select(ready, inRegion); near.size() >= MinimumAddresses)
        return near;
    return select(ready, [](const LookupCandidate &) { return true; });
}

} // namespace Apricothook
