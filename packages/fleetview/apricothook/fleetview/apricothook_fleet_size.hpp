#pragma once

#include <apricothook/fleetview/apricothook_fleet_directory.hpp>

#include <optional>
#include <vector>

namespace Apricothook {

/**
 * The number of daemons among which a bound of the whole fleet is divided.
 *
 * The members in sight don't tell it: a daemon that has just started or is cut off sees only
 * itself, and would take the whole for its part. So the number is unknown until this daemon has
 * heard of the fleet, and falls only while it hears most of the seeds. Of two parts of a fleet that
 * don't hear each other, one at most does.
 */
class FleetSize
{
public:
    /** `own`: where this daemon receives datagrams; `seeds` are such addresses of others. */
    FleetSize(const FleetDirectory &directory, std::vector<Endpoint> seeds, Endpoint own);

    /** To be called some times a second. */
    void review(Instant now);
    /** This daemon counted too; nothing while it is unknown. */
    std::optional<std::size_t> daemons() const { return m_daemons; }

private:
    const FleetDirectory &m_directory;
    const std::vector<Endpoint> m_seeds;
    const Endpoint m_own;
    std::optional<std::size_t> m_daemons;
};

} // namespace Apricothook
