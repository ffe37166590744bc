#include <apricothook/steward/internal/apricothook_service_floor.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

Tier below(Tier tier)
{
    return Tier(static_cast<std::uint8_t>(tier.rank() + 1));
}

Tier above(Tier tier)
{
    return Tier(static_cast<std::uint8_t>(tier.rank() - 1));
}

} // namespace

ServiceFloor::ServiceFloor(ServiceId service, const StewardPolicy &policy)
    : m_service(std::move(service)), m_policy(policy)
{
}

void ServiceFloor::setLowestTier(Tier lowest)
{
    // A floor that stood at the old lowest tier shut nothing; it follows. One that shuts tiers
    // stays.
    if (m_own == m_lowest || m_own > lowest)
        m_own = lowest;
    if (m_wanted == m_lowest || m_wanted > lowest)
        m_wanted = lowest;
    m_lowest = lowest;
}

void ServiceFloor::setPeers(const std::vector<MemberId> &peers)
{
    std::erase_if(m_peers, [&](const auto &entry) {
        return std::find(peers.begin(), peers.end(), entry.first) == peers.end();
    });
    for (const MemberId &peer : peers)
        m_peers.try_emplace(peer);
}

Tier ServiceFloor::floor() const
{
    Tier floor = m_own;
    for (const auto &[member, remote] : m_remotes)
        floor = std::min(floor, remote.floor);
    return floor == m_lowest ? Tier(LowestTierRank) : floor;
}

bool ServiceFloor::mayShed(Tier tier, Instant now) const
{
    if (tier >= m_lowest)
        return true;
    return m_own <= tier && allHold(tier, now);
}

bool ServiceFloor::allHold(Tier tier, Instant now) const
{
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return entry.second.held <= tier && now < entry.second.heldUntil;
    });
}

bool ServiceFloor::areAllTold(Instant now) const
{
    // A peer that didn't hear of the last step still keeps the floor before it, for at most a
    // lease.
    if (now - m_movedAt > m_policy.floorLease + m_policy.floorRenewal)
        return true;
    return std::all_of(m_peers.begin(), m_peers.end(),
                       [](const auto &entry) { return entry.second.isAcknowledged; });
}

void ServiceFloor::press(Tier tier, Instant now)
{
    if (tier >= m_lowest)
        return;
    m_wanted = std::min(m_wanted, tier);
    if (tier <= m_wanted)
        m_pressedAt = now;
}

FloorAcknowledged ServiceFloor::raised(const MemberId &from, const FloorRaise &raise, Instant now)
{
    Remote &remote = m_remotes[from];
    // An older raise that arrives late would undo a newer one.
    if (raise.sequence >= remote.sequence) {
        remote.sequence = raise.sequence;
        remote.floor = raise.floor;
        remote.until = now + raise.lease;
        return {raise.service, raise.floor, raise.sequence};
    }
    return {raise.service, remote.floor, remote.sequence};
}

void ServiceFloor::acknowledged(const MemberId &from, const FloorAcknowledged &message, Instant now)
{
    const auto found = m_peers.find(from);
    if (found == m_peers.end() || message.sequence != found->second.sequence
        || message.floor != m_own)
        return;
    Peer &peer = found->second;
    peer.isAcknowledged = true;
    peer.held = message.floor;
    // The peer's lease began when the raise came, which was after the first time it was sent.
    peer.heldUntil = std::max(peer.heldUntil, peer.firstSent + m_policy.floorLease);
    static_cast<void>(now);
}

bool ServiceFloor::step(Instant now, Outbox &out)
{
    const bool hasMoved = lapse(now) || fall(now) || rise(now);
    if (hasMoved)
        send(now, out);
    return hasMoved;
}

bool ServiceFloor::lapse(Instant now)
{
    bool hasMoved = false;
    for (auto &[member, remote] : m_remotes) {
        if (now < remote.until)
            continue;
        // The raiser is gone. Its leases end at different moments at different stewards; by one
        // tier at a time no steward opens a tier while another still sheds the tier above it.
        hasMoved = hasMoved || remote.floor < m_lowest;
        remote.floor = below(remote.floor);
        remote.until = now + m_policy.floorLease;
    }
    std::erase_if(m_remotes, [&](const auto &entry) { return entry.second.floor > m_lowest; });
    return hasMoved;
}

bool ServiceFloor::fall(Instant now)
{
    if (m_own >= m_lowest || now - m_pressedAt < m_policy.floorCalm
        || now - m_movedAt < m_policy.floorCalm || !areAllTold(now))
        return false;
    m_own = below(m_own);
    m_wanted = std::max(m_wanted, m_own);
    for (auto &[member, peer] : m_peers)
        peer.held = std::max(peer.held, m_own);
    announce(now);
    return true;
}

bool ServiceFloor::rise(Instant now)
{
    if (m_own <= m_wanted || (m_own < m_lowest && !allHold(m_own, now)))
        return false;
    m_own = above(m_own);
    announce(now);
    return true;
}

void ServiceFloor::announce(Instant now)
{
    m_movedAt = now;
    m_isAnnouncing = true;
    for (auto &[member, peer] : m_peers) {
        peer.isSent = false;
        peer.isAcknowledged = false;
    }
}

void ServiceFloor::send(Instant now, Outbox &out)
{
    if (!m_isAnnouncing)
        return;
    if (m_own == m_lowest && areAllTold(now)) {
        m_isAnnouncing = false;
        return;
    }
    for (auto &[member, peer] : m_peers)
        sendTo(member, peer, now, out);
}

void ServiceFloor::sendTo(const MemberId &id, Peer &peer, Instant now, Outbox &out)
{
    const bool isRenewal
        = peer.isSent && peer.isAcknowledged && now - peer.firstSent >= m_policy.floorRenewal;
    if (peer.isSent && !isRenewal
        && (peer.isAcknowledged || now - peer.lastSent < m_policy.floorResend))
        return;
    if (!peer.isSent || isRenewal) {
        peer.sequence = ++m_sequence;
        peer.firstSent = now;
        peer.isSent = true;
        peer.isAcknowledged = false;
    }
    peer.lastSent = now;
    out.push_back({id, FloorRaise {m_service, m_own, peer.sequence, m_policy.floorLease}});
}

} // namespace Apricothook
