#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>

#include <cstdint>
#include <string>

namespace Apricothook {

/** Information about a daemon that daemons exchange. */
struct MemberInfo
{
    MemberId member;
    /** Increases with each restart of the member. */
    Incarnation process;
    DataCentreId dataCentre;
    /** Address at which it receives datagrams of other daemons. */
    Endpoint peerAddress;
    Endpoint callerAddress;
    /** Address at which it serves published items to other daemons. */
    Endpoint itemAddress;
    /** Has a configuration and serves callers. */
    bool isReady = false;
    bool isLeaving = false;
    /** Its last call to the source of the published items succeeded. */
    bool reachesSource = false;
    /** Its last call to the source failed. Neither flag is set if it doesn't read there. */
    bool hasLostSource = false;
    /** Weight for the distribution of callers: its share of a processor core in hundredths. */
    std::uint32_t capacity = 1;
    /** Milliseconds since the member itself was last heard, as far as the sender knows. */
    std::uint32_t age = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.member, self.process, self.dataCentre, self.peerAddress, self.callerAddress,
                self.itemAddress, self.isReady, self.isLeaving, self.reachesSource,
                self.hasLostSource, self.capacity, self.age);
    }
    auto operator<=>(const MemberInfo &) const = default;
};

} // namespace Apricothook
