#pragma once

#include <apricothook/dispatch/apricothook_customer_allowance.hpp>
#include <apricothook/dispatch/apricothook_dispatcher.hpp>
#include <apricothook/model/apricothook_endpoint.hpp>
#include <apricothook/model/apricothook_failure.hpp>
#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/peers/apricothook_codec_error.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Apricothook {

/** A target's running requests at the sender. */
struct BeaconLoad
{
    std::uint64_t target = 0;
    std::uint32_t running = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.target, self.running);
    }
    auto operator<=>(const BeaconLoad &) const = default;
};

/** Requests of one rank that wait at the sender. */
struct BeaconWaiting
{
    std::uint64_t service = 0;
    Tier customerTier;
    Tier routeTier;
    std::uint32_t waiting = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.service, self.customerTier, self.routeTier, self.waiting);
    }
    auto operator<=>(const BeaconWaiting &) const = default;
};

/** What the sender admitted of a customer since it started. */
struct BeaconUse
{
    std::uint64_t customer = 0;
    std::uint64_t admitted = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.customer, self.admitted);
    }
    auto operator<=>(const BeaconUse &) const = default;
};

/**
 * What a daemon tells all others some times a second. Each beacon holds the whole state, so a lost
 * one costs only time.
 */
struct Beacon
{
    MemberId member;
    /** Larger for each later process of the member. */
    Incarnation incarnation;
    /** Grows with each beacon of the process; late ones are dropped by it. */
    std::uint64_t sequence = 0;
    /** Serves callers and knows a configuration. */
    bool isReady = false;
    bool isLeaving = false;
    DataCentreId dataCentre;
    Endpoint beaconAddress;
    Endpoint callerAddress;
    /** Where peers ask it for published items. */
    Endpoint itemAddress;
    /** The highest revision of a published item that it has. */
    std::uint64_t revision = 0;
    std::vector<BeaconLoad> loads;
    std::vector<BeaconWaiting> waiting;
    std::vector<BeaconUse> use;
    /** Beacon addresses of other members. */
    std::vector<Endpoint> others;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.member, self.incarnation, self.sequence, self.isReady, self.isLeaving,
                self.dataCentre, self.beaconAddress, self.callerAddress, self.itemAddress,
                self.revision, self.loads, self.waiting, self.use, self.others);
    }
    auto operator<=>(const Beacon &) const = default;
};

std::string writeBeacon(const Beacon &beacon);
Result<Beacon, CodecError> parseBeacon(std::string_view bytes);

} // namespace Apricothook
