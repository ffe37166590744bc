#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <vector>

namespace Apricothook {

/**
 * This daemon's share of each target's slots, which no other daemon uses.
 *
 * The slots of a target are dealt to the daemons in the order of their rendezvous weights, so that
 * daemons with the same members divide them without overlap and without a message. If a daemon
 * knows one member more than another one, the shares overlap by at most one slot. A changed share
 * is therefore reduced at once and raised only when all others must know of the change too.
 */
class SlotShares
{
public:
    /** `self`: memberHash() of this daemon, which is alone until setMembers() is called. */
    explicit SlotShares(std::uint64_t self) : m_self(self), m_members {self} { }

    /**
     * Sets the daemons that may be sending; empty while they aren't known. `settling`: time within
     * which all daemons know of a change. Returns false if nothing has changed.
     */
    bool setMembers(std::vector<std::uint64_t> members, Duration settling, Instant now);
    /** Returns whether shares may have grown because a change is settled. */
    bool review(Instant now);
    /** Slots of the target, given by its hash, that this daemon may use. */
    std::uint32_t share(std::uint64_t target, std::uint32_t slots) const;

private:
    /** Members that other daemons may still go by. */
    struct EarlierMembers
    {
        std::vector<std::uint64_t> members;
        Instant until {};
    };

    std::uint32_t shareAmong(const std::vector<std::uint64_t> &members, std::uint64_t target,
                             std::uint32_t slots) const;

    const std::uint64_t m_self;
    std::vector<std::uint64_t> m_members;
    std::vector<EarlierMembers> m_earlier;
};

} // namespace Apricothook
