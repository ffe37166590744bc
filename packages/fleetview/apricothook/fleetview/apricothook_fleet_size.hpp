#pragma once

#include <apricothook/fleetview/apricothook_fleet_directory.hpp>

#include <optional>
#include <vector>

namespace Apricothook {

/**
 * Number of daemons among which a fleet-wide limit is divided.
 *
 * The number of live members can't be used: a daemon that has just started or is cut off knows only
 * itself and would claim the whole limit. The number is therefore unknown until this daemon has
 * discovered the fleet, and it decreases only while this daemon hears most of the seeds, which
 * holds in at most one of two partitions that can't hear each other.
 */
class FleetSize
{
public:
    /**
     * `own`: address at which this daemon receives datagrams; `seeds`: such addresses of the seeds.
     */
    FleetSize(const FleetDirectory &directory, std::vector<Endpoint> seeds, Endpoint own);

    /** To be called several times per second. */
    void review(Instant now);
    /** Includes this daemon; nothing while the number is unknown. */
    std::optional<std::size_t> daemons() const { return m_daemons; }

private:
    const FleetDirectory &m_directory;
    const std::vector<Endpoint> m_seeds;
    const Endpoint m_own;
    std::optional<std::size_t> m_daemons;
};

} // namespace Apricothook
