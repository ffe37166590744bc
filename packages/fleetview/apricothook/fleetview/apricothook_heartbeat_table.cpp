#include <apricothook/fleetview/apricothook_heartbeat_table.hpp>

#include <algorithm>
#include <tuple>

namespace Apricothook {

HeartbeatChange HeartbeatTable::apply(const Heartbeat &heartbeat, Instant now)
{
    HeartbeatChange effect;
    const MemberId &sender = heartbeat.sender.member;
    if (sender == m_self)
        return effect;
    const std::uint64_t number = memberHash(sender);
    const bool isKnown = m_peers.contains(number);
    CellPeer &peer = m_peers[number];
    const auto age = [](const CellLoadReport &of) { return std::tuple(of.process, of.sequence); };
    const bool isOther = heartbeat.report.process != peer.report.process;
    const bool isSuccessor = isOther && now - peer.lastHeard > MaximumHeartbeatDelay;
    if (isKnown && !isSuccessor && age(heartbeat.report) <= age(peer.report))
        return effect;
    effect.isNewer = true;
    effect.isNewProcess = !isKnown || isOther;
    effect.hasReturned = !peer.isLive;
    peer = {heartbeat.sender, heartbeat.report, now, true};
    return effect;
}

HeartbeatChange HeartbeatTable::apply(const CellLoadReport &report, Instant now)
{
    const auto known = m_peers.find(report.member);
    if (known == m_peers.end())
        return {};
    CellPeer &peer = known->second;
    if (report.process != peer.report.process || report.sequence <= peer.report.sequence)
        return {};
    HeartbeatChange effect;
    effect.isNewer = true;
    effect.hasReturned = !peer.isLive;
    peer.report = report;
    peer.lastHeard = now;
    peer.isLive = true;
    return effect;
}

std::vector<MemberId> HeartbeatTable::markSilent(Instant now)
{
    std::vector<MemberId> silent;
    for (auto &[number, peer] : m_peers) {
        if (peer.isLive && now - peer.lastHeard > SilenceLimit) {
            peer.isLive = false;
            silent.push_back(peer.info.member);
        }
    }
    std::erase_if(
        m_peers, [now](const auto &entry) { return now - entry.second.lastHeard > RetentionTime; });
    return silent;
}

const CellPeer *HeartbeatTable::find(const MemberId &member) const
{
    return find(memberHash(member));
}

const CellPeer *HeartbeatTable::find(std::uint64_t hash) const
{
    const auto found = m_peers.find(hash);
    return found == m_peers.end() ? nullptr : &found->second;
}

std::vector<const CellPeer *> HeartbeatTable::livePeers() const
{
    std::vector<const CellPeer *> heard;
    for (const auto &[number, peer] : m_peers) {
        if (peer.isLive)
            heard.push_back(&peer);
    }
    return heard;
}

} // namespace Apricothook
