#pragma once

#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>

#include <cstdint>
#include <string>

namespace Apricothook {

/** What daemons pass on of one of them. */
struct MemberInfo
{
    MemberId member;
    /** Larger for each later process of the member. */
    Incarnation process;
    DataCentreId dataCentre;
    /** Where it receives datagrams of other daemons. */
    Endpoint beaconAddress;
    Endpoint callerAddress;
    /** Where others ask it for published items. */
    Endpoint itemAddress;
    /** Serves callers and knows a configuration. */
    bool isReady = false;
    bool isLeaving = false;
    /** Its last call to the published items' source was answered. */
    bool reachesSource = false;
    /** Its last call failed. Neither, when it leaves reading to others. */
    bool hasLostSource = false;
    /** Callers that it can take, against other daemons; its part of a core in hundredths. */
    std::uint32_t capacity = 1;
    /** Milliseconds since the member itself was heard, as far as the sender knows. */
    std::uint32_t age = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.member, self.process, self.dataCentre, self.beaconAddress, self.callerAddress,
                self.itemAddress, self.isReady, self.isLeaving, self.reachesSource,
                self.hasLostSource, self.capacity, self.age);
    }
    auto operator<=>(const MemberInfo &) const = default;
};

} // namespace Apricothook
