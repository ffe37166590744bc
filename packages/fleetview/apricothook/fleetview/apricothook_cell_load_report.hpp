#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>

#include <cstdint>
#include <vector>

namespace Apricothook {

/** A target's running requests at the sender. */
struct ReportedLoad
{
    std::uint64_t target = 0; ///< targetHash() of the start.
    std::uint32_t running = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.target, self.running);
    }
    auto operator<=>(const ReportedLoad &) const = default;
};

/** Requests of one rank that wait at the sender. */
struct ReportedWaiting
{
    std::uint64_t service = 0; ///< serviceHash() of the name.
    Tier customerTier;
    Tier routeTier;
    std::uint32_t waiting = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.service, self.customerTier, self.routeTier, self.waiting);
    }
    auto operator<=>(const ReportedWaiting &) const = default;
};

/**
 * What a daemon does now, told to its cell. Loads and waiting requests are always whole, so a lost
 * report costs only time.
 */
struct CellLoadReport
{
    /** memberHash() of the sender. */
    std::uint64_t member = 0;
    Incarnation process;
    /** Grows with each report of the process; late ones are dropped by it. */
    std::uint64_t sequence = 0;
    std::vector<ReportedLoad> loads;
    std::vector<ReportedWaiting> waiting;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.member, self.process, self.sequence, self.loads, self.waiting);
    }
    auto operator<=>(const CellLoadReport &) const = default;
};

/** A short name of a member for messages between daemons. */
std::uint64_t memberHash(const MemberId &member);

} // namespace Apricothook
