#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/steward/apricothook_shed_gate.hpp>
#include <apricothook/steward/apricothook_steward_policy.hpp>

#include <map>
#include <vector>

namespace Apricothook {

/**
 * The admission floor of one service at one daemon, agreed with the other stewards of the service.
 * docs/SHEDDING.md has the argument. A floor moves by one tier at a time: up only when all others
 * have acknowledged the step before, down only when no lower floor can still be in force anywhere.
 */
class ServiceFloor : public ShedGate
{
public:
    ServiceFloor(ServiceId service, const StewardPolicy &policy);

    /** The lowest tier that the text's classes use; nothing below it need be shut. */
    void setLowestTier(Tier lowest);
    /** The other stewards of the service as the members are seen now. */
    void setPeers(const std::vector<MemberId> &peers);

    Tier floor() const override;
    bool mayShed(Tier tier, Instant now) const override;
    void press(Tier tier, Instant now) override;

    FloorAcknowledged raised(const MemberId &from, const FloorRaise &raise, Instant now);
    void acknowledged(const MemberId &from, const FloorAcknowledged &message, Instant now);
    /** Takes at most one step; true when the floor moved and there may be another. */
    bool step(Instant now, Outbox &out);
    /** Sends again what wasn't acknowledged and renews what was. */
    void send(Instant now, Outbox &out);

private:
    struct Peer
    {
        std::uint64_t sequence = 0;
        Instant firstSent {};
        Instant lastSent {};
        bool isSent = false;
        bool isAcknowledged = false;
        /** The floor that the peer keeps at least until `heldUntil`. */
        Tier held {UINT8_MAX};
        Instant heldUntil {};
    };
    struct Remote
    {
        std::uint64_t sequence = 0;
        Tier floor;
        Instant until {};
    };

    bool allHold(Tier tier, Instant now) const;
    bool areAllTold(Instant now) const;
    bool lapse(Instant now);
    bool fall(Instant now);
    bool rise(Instant now);
    void announce(Instant now);
    void sendTo(const MemberId &id, Peer &peer, Instant now, Outbox &out);

    ServiceId m_service;
    const StewardPolicy &m_policy;
    Tier m_lowest {LowestTierRank};
    /** The step of the own raise that was reached, and the one that is wanted. */
    Tier m_own {LowestTierRank};
    Tier m_wanted {LowestTierRank};
    Instant m_pressedAt {};
    Instant m_movedAt {};
    bool m_isAnnouncing = false;
    std::uint64_t m_sequence = 0;
    std::map<MemberId, Peer> m_peers;
    std::map<MemberId, Remote> m_remotes;
};

} // namespace Apricothook
