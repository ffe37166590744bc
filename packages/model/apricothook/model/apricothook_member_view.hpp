#pragma once

#include <apricothook/model/apricothook_peer_message.hpp>

#include <optional>
#include <vector>

namespace Apricothook {

/** This daemon's current view of the members; views of different daemons may differ. */
class MemberView
{
public:
    virtual ~MemberView() = default;
    virtual const MemberInstance &self() const = 0;
    /** Alive and leaving members including this daemon, ordered by id. Suspects count as alive. */
    virtual const std::vector<MemberUpdate> &live() const = 0;
    virtual std::optional<MemberUpdate> find(const MemberId &member) const = 0;
    /** Incremented when live() changes, so that derived tables are rebuilt only then. */
    virtual std::uint64_t version() const = 0;
    /**
     * Fraction of the fleet on this side of a network partition, in (0, 1]. Below 1 only if so many
     * members disappeared at once, without leaving, that a partition is the likely cause.
     */
    virtual double visibleShare() const = 0;
};

} // namespace Apricothook
