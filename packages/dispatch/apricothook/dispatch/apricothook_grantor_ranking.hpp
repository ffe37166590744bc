#pragma once

#include <apricothook/dispatch/apricothook_limit_messages.hpp>

#include <vector>

namespace Apricothook {

/** A daemon that may be the grantor of some customers. */
struct GrantorCandidate
{
    LimitPeer peer;
    /** Its part of a core in hundredths; larger VMs go first. */
    std::uint32_t capacity = 1;
    /** It stops soon: it may still grant, but becomes nobody's grantor. */
    bool isLeaving = false;

    auto operator<=>(const GrantorCandidate &) const = default;
};

/**
 * Which daemon is to grant a customer's units: rendezvous hashing over a few of the live members.
 * Daemons that know about the same members agree on it without a message; one that comes or goes
 * moves only its own customers.
 */
class GrantorOrder
{
public:
    /**
     * Daemons that share the customers among them. A fleet of 4,000 requests a second asks each of
     * them 250 times a second, and a daemon's list of ranks stays short.
     */
    static constexpr std::size_t MostCandidates = 16;
    /** Daemons of a customer that a claim goes to, with those that leave. */
    static constexpr std::size_t MostAskedToHandOver = 4;

    /** All live members, this one among them. */
    void setMembers(std::vector<GrantorCandidate> members);
    bool isCandidate(const LimitPeer &peer) const;
    /** Candidates that stay, the best first. */
    std::vector<LimitPeer> ranks(std::uint64_t customer) const;
    /** Nothing while no member is known. */
    const LimitPeer *first(std::uint64_t customer) const;
    /**
     * Which of two goes before the other. Daemons that know the same candidates agree on it, so of
     * two that both want a customer one yields.
     */
    bool isBefore(const LimitPeer &one, const LimitPeer &other, std::uint64_t customer) const;
    /** Who may be the customer's grantor now, without `self`. */
    std::vector<LimitPeer> incumbents(std::uint64_t customer, std::uint64_t self) const;

private:
    std::vector<LimitPeer> m_staying;
    std::vector<LimitPeer> m_leaving;
};

} // namespace Apricothook
