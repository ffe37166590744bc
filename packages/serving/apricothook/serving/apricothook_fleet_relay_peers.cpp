#include <apricothook/serving/apricothook_fleet_relay_peers.hpp>

#include <algorithm>

namespace Apricothook {

std::vector<RelayCandidate> FleetRelayPeers::candidates() const
{
    std::vector<RelayCandidate> candidates;
    for (const auto &[id, member] : m_directory.members()) {
        const MemberInfo &info = member.info;
        if (m_directory.isRoutable(member, m_loop.now()) && info.isReady && !info.isLeaving)
            candidates.push_back({info.peerAddress, info.dataCentre});
    }
    return candidates;
}

bool FleetRelayPeers::isDaemon(std::string_view address) const
{
    return std::ranges::any_of(m_directory.members(), [address](const auto &entry) {
        return entry.second.info.peerAddress.address == address;
    });
}

} // namespace Apricothook
