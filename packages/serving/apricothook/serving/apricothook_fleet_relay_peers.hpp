#pragma once

#include <apricothook/eventloop/apricothook_event_loop.hpp>
#include <apricothook/fleetview/apricothook_fleet_directory.hpp>
#include <apricothook/paths/apricothook_relay_peers.hpp>

namespace Apricothook {

/** The daemons of the fleet's directory as peers for connections to targets. */
class FleetRelayPeers : public RelayPeers
{
public:
    FleetRelayPeers(const EventLoop &loop, const FleetDirectory &directory)
        : m_loop(loop), m_directory(directory)
    {
    }

    std::vector<RelayCandidate> candidates() const override;
    bool isDaemon(std::string_view address) const override;
    bool isAlone() const override { return m_directory.members().empty(); }

private:
    const EventLoop &m_loop;
    const FleetDirectory &m_directory;
};

} // namespace Apricothook
