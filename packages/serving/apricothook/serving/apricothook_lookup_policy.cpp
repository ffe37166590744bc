#include <apricothook/serving/apricothook_lookup_policy.hpp>

namespace Apricothook {

namespace {

constexpr std::size_t EnoughEntries = 2;

template <typename IsNear>
std::vector<Endpoint> select(const std::vector<LookupEntry> &ready, const IsNear &isNear)
{
    std::vector<Endpoint> addresses;
    for (const LookupEntry &entry : ready) {
        if (isNear(entry) && addresses.size() < MostLookupEntries)
            addresses.push_back(entry.address);
    }
    return addresses;
}

} // namespace

std::vector<Endpoint> nearEntries(const std::vector<LookupEntry> &ready,
                                  const std::map<DataCentreId, RegionId> &regions,
                                  const LookupQuestion &question)
{
    const auto inDataCentre
        = [&](const LookupEntry &entry) { return entry.dataCentre == question.dataCentre; };
    const auto inRegion = [&](const LookupEntry &entry) {
        const auto region = regions.find(entry.dataCentre);
        return region != regions.end() && region->second == question.region;
    };
    if (auto near = select(ready, inDataCentre); near.size() >= EnoughEntries)
        return near;
    if (auto near = select(ready, inRegion); near.size() >= EnoughEntries)
        return near;
    return select(ready, [](const LookupEntry &) { return true; });
}

} // namespace Apricothook
