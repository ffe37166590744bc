#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <array>
#include <optional>
#include <vector>

namespace Apricothook {

/** How far a member is from this daemon. */
enum class Distance { DataCentre, Region, Far };

Distance distanceBetween(const MemberUpdate &a, const MemberUpdate &b);

/**
 * Whom to probe next: three shuffled lists, by distance, each gone through from end to end. Three
 * of five probes stay in the data centre, one in the region, one crosses regions. Going through a
 * shuffled list bounds the time until a member is probed; drawing at random would not.
 */
class ProbeOrder
{
public:
    explicit ProbeOrder(RandomSource &random) : m_random(random) { }

    /** A live member other than `self`; nothing when this daemon is alone. */
    std::optional<MemberUpdate> next(const MemberUpdate &self,
                                     const std::vector<MemberUpdate> &live);

private:
    struct Ring
    {
        std::vector<MemberId> members;
        std::size_t place = 0;
    };

    std::optional<MemberUpdate> nextOf(Distance distance, const MemberUpdate &self,
                                       const std::vector<MemberUpdate> &live);
    void refill(Ring &ring, Distance distance, const MemberUpdate &self,
                const std::vector<MemberUpdate> &live);

    RandomSource &m_random;
    std::array<Ring, 3> m_rings;
    std::size_t m_turn = 0;
};

} // namespace Apricothook
