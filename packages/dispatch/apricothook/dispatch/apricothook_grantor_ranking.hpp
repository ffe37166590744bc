#pragma once

#include <apricothook/dispatch/apricothook_limit_messages.hpp>

#include <vector>

namespace Apricothook {

/** A daemon that may become the grantor of limits. */
struct GrantorCandidate
{
    LimitPeer peer;
    /** Its CPU share in hundredths of a core; larger VMs rank first. */
    std::uint32_t capacity = 1;
    /** The daemon stops soon: it may still grant, but doesn't become a limit's grantor. */
    bool isLeaving = false;

    auto operator<=>(const GrantorCandidate &) const = default;
};

/**
 * Selects the daemon that grants a limit's units, by rendezvous hashing over a few of the live
 * members. Daemons that know the same members agree without a message. A member that joins or
 * leaves moves only its own limits.
 */
class GrantorRanking
{
public:
    /**
     * Daemons among which the limits are divided. A fleet of 4,000 requests a second asks each
     * of them 250 times a second, and the ranking stays short.
     */
    static constexpr std::size_t MaximumCandidates = 16;
    /**
     * Number of ranked daemons that receive a claim for a limit, in addition to those that are
     * leaving.
     */
    static constexpr std::size_t MaximumClaimReceivers = 4;

    /** All live members, including this one. */
    void setMembers(std::vector<GrantorCandidate> members);
    bool isCandidate(const LimitPeer &peer) const;
    /** Candidates that aren't leaving, highest rank first. */
    std::vector<LimitPeer> ranked(std::uint64_t limit) const;
    /** Null if no member is known. */
    const LimitPeer *highestRanked(std::uint64_t limit) const;
    /**
     * Whether `one` ranks before `other`. Daemons that know the same candidates agree on it, so of
     * two that claim the same limit one yields.
     */
    bool ranksBefore(const LimitPeer &one, const LimitPeer &other, std::uint64_t limit) const;
    /** Members other than `self` that may be the limit's current grantor. */
    std::vector<LimitPeer> possibleGrantors(std::uint64_t limit, std::uint64_t self) const;

private:
    std::vector<LimitPeer> m_candidates;
    std::vector<LimitPeer> m_leaving;
};

} // namespace Apricothook
