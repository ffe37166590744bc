#include <apricothook/fleetview/apricothook_fleet_size.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

FleetSize::FleetSize(const FleetDirectory &directory, std::vector<Endpoint> seeds, Endpoint own)
    : m_directory(directory), m_seeds(std::move(seeds)), m_own(std::move(own))
{
}

void FleetSize::review(Instant now)
{
    const std::size_t known = m_directory.knownCount(now);
    const bool hearsSeeds = m_directory.reachesSeedMajority(m_seeds, m_own, now);
    if (hearsSeeds && m_directory.hasDiscoveredFleet(m_seeds, m_own, now))
        m_daemons = known;
    else if (m_daemons)
        m_daemons = std::max(*m_daemons, known);
}

} // namespace Apricothook
