#include <apricothook/text/internal/apricothook_object_reader.hpp>
#include <apricothook/text/internal/apricothook_section_readers.hpp>
#include <apricothook/text/internal/apricothook_text_references.hpp>

namespace Apricothook {

namespace {

void readDataCentre(ObjectReader &entry, TextReferences &references, DataCentre &dataCentre)
{
    const bool hasId = entry.readNewName("id", dataCentre.id, references.dataCentres);
    const bool hasRegion = entry.readName("region", dataCentre.region, Need::Required);
    if (hasRegion)
        references.regions.add(dataCentre.region.text(), 0);
    if (hasId && hasRegion)
        references.regionOf.emplace(dataCentre.id, dataCentre.region);
}

void readRosterEntry(ObjectReader &entry, TextReferences &references, RosterEntry &daemon)
{
    entry.readNewName("id", daemon.id, references.members);
    entry.readReference("dataCentre", daemon.dataCentre, references.dataCentres, Need::Required);
    const auto region = references.regionOf.find(daemon.dataCentre);
    if (region != references.regionOf.end())
        references.regionsWithDaemon.insert(region->second);
}

} // namespace

std::vector<DataCentre> readDataCentres(ObjectReader &root, TextReferences &references)
{
    std::vector<DataCentre> all;
    const bool isList = root.forEachObject("dataCentres", Need::Required, [&](ObjectReader &entry) {
        readDataCentre(entry, references, all.emplace_back());
    });
    if (isList && all.empty())
        root.refuse("dataCentres", TextRule::EmptyList, "at least one data centre is wanted");
    return all;
}

std::vector<RosterEntry> readRoster(ObjectReader &root, TextReferences &references)
{
    std::vector<RosterEntry> all;
    const bool isList = root.forEachObject("roster", Need::Required, [&](ObjectReader &entry) {
        readRosterEntry(entry, references, all.emplace_back());
    });
    if (isList && all.empty())
        root.refuse("roster", TextRule::EmptyList, "keys without a ticket need a daemon as home");
    return all;
}

} // namespace Apricothook
