#pragma once

#include <apricothook/serving/apricothook_lookup_dialect.hpp>

#include <map>
#include <vector>

namespace Apricothook {

/** A daemon that serves callers. */
struct LookupEntry
{
    Endpoint address;
    DataCentreId dataCentre;

    auto operator<=>(const LookupEntry &) const = default;
};

/** Most addresses in one answer. */
constexpr std::size_t MostLookupEntries = 64;

/**
 * The entries for a caller: those in its data centre, as bytes between data centres cost time and
 * money. One entry alone would leave its callers with nothing when it dies, so with fewer than two
 * the whole region answers, then everyone.
 */
std::vector<Endpoint> nearEntries(const std::vector<LookupEntry> &ready,
                                  const std::map<DataCentreId, RegionId> &regions,
                                  const LookupQuestion &question);

} // namespace Apricothook
