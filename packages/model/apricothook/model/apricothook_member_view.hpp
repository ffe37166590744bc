#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>

#include <optional>
#include <vector>

namespace Apricothook {

/** The members as this daemon sees them now; views of two daemons may differ. */
class MemberView
{
public:
    virtual ~MemberView() = default;
    virtual const MemberInstance &self() const = 0;
    /** Alive and leaving members and this daemon, ordered by member. Suspects count as alive. */
    virtual const std::vector<MemberUpdate> &live() const = 0;
    virtual std::optional<MemberUpdate> find(const MemberId &member) const = 0;
    /** Grows whenever live() changes; lets derived tables be rebuilt only then. */
    virtual std::uint64_t version() const = 0;
    /**
     * Share of the fleet on this side, in (0, 1]: below 1 only where so many members were lost at
     * once, without leaving, that a network partition is likelier than that many deaths.
     */
    virtual double visibleShare() const = 0;
};

} // namespace Apricothook
