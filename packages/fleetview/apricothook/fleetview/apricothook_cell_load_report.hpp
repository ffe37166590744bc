#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>

#include <cstdint>
#include <vector>

namespace Apricothook {

/** Number of requests that the sender is running at a target. */
struct ReportedLoad
{
    std::uint64_t target = 0; ///< targetHash() of the target's start.
    std::uint32_t running = 0;
    /** Tokens of the sender's prompts there without a first event; zero in older versions. */
    std::uint64_t unreadTokens = 0;

    template <typename Archive, typename Self>
    static void fields(Archive &archive, Self &self)
    {
        archive(self.target, self.running, self.unreadTokens);
    }
    auto operator<=>(const ReportedLoad &) const = default;
};

/** Number of requests of one rank that are queued at the sender. */
struct ReportedWaiting
{
    std::uint64_t service = 0; ///< serviceHash() of the service's name.
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
 * Current load and queue of a daemon, sent to its cell. A report always contains the complete
 * state, so that a lost report only delays the next update.
 */
struct CellLoadReport
{
    /** memberHash() of the sender. */
    std::uint64_t member = 0;
    Incarnation process;
    /** Increases with each report of the process, so that reordered reports can be dropped. */
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

/** Hash of a member's name that identifies it in messages between daemons. */
std::uint64_t memberHash(const MemberId &member);

} // namespace Apricothook
