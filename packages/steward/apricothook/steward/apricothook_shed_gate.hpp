#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_time.hpp>

namespace Apricothook {

/** Says which tiers of a service may be admitted and which may be shed. */
class ShedGate
{
public:
    virtual ~ShedGate() = default;
    /** The lowest tier that is still admitted; lower ones are refused as shed. */
    virtual Tier floor() const = 0;
    /** Whether all tiers below `tier` are shut at every steward of the service that lives. */
    virtual bool mayShed(Tier tier, Instant now) const = 0;
    /** Work of the tier can't be served in time: the tiers below are to be shut. */
    virtual void press(Tier tier, Instant now) = 0;
};

} // namespace Apricothook
