#pragma once

#include <apricothook/fleetview/apricothook_beacon.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Apricothook {

/** What a beacon changed. */
struct BeaconEffect
{
    /** The beacon is newer than all that is known of its sender. */
    bool isNews = false;
    /** The sender's process is another one than before, or it is new. */
    bool isNewProcess = false;
    /** The sender was silent or unknown. */
    bool isBack = false;
    /** What the sender admitted of each customer since its last beacon. */
    std::vector<BeaconUse> admitted;
};

/** Another daemon as its beacons tell it. */
struct Member
{
    Beacon last;
    Instant heard {};
    bool isHeard = false;
};

/**
 * The other daemons, from their beacons. A member that falls silent is left out of lookups and its
 * load is forgotten after SilenceLimit; its address is tried for much longer, as it may be cut off
 * only from here.
 */
class BeaconTable
{
public:
    /** Five beacons of an idle daemon: loss of one in three hardly ever makes such a gap. */
    static constexpr std::chrono::milliseconds SilenceLimit {1000};
    /** A silent member that may still admit requests elsewhere; then it counts as gone. */
    static constexpr std::chrono::seconds KnownLimit {12};
    /**
     * A process that was started while its clock was set back has a smaller incarnation than the
     * one before it. Beacons of the old process can't be on their way for so long.
     */
    static constexpr std::chrono::milliseconds OldBeaconTime {500};
    /** Addresses of silent members are tried for so long. */
    static constexpr std::chrono::seconds AddressLimit {60};

    BeaconTable(MemberId self, Endpoint ownAddress, std::vector<Endpoint> seeds);

    BeaconEffect take(const Beacon &beacon, Instant now);
    /** Members that have just become silent. */
    std::vector<MemberId> noteSilent(Instant now);
    const std::map<MemberId, Member> &members() const { return m_members; }
    std::vector<const Member *> heard() const;
    /** This daemon among them. */
    std::size_t heardCount() const { return heard().size() + 1; }
    std::size_t knownCount(Instant now) const;
    /** Where beacons go: members, seeds and addresses that members told. */
    std::set<Endpoint> addresses(Instant now) const;

private:
    void noteOthers(const Beacon &beacon, Instant now);

    const MemberId m_self;
    const Endpoint m_own;
    const std::vector<Endpoint> m_seeds;
    std::map<MemberId, Member> m_members;
    std::map<Endpoint, Instant> m_told;
};

} // namespace Apricothook
