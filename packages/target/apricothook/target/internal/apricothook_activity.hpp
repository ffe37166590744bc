#pragma once

#include <apricothook/model/apricothook_time.hpp>

namespace Apricothook {

/** Something that the loop runs until it has ended. */
class Activity
{
public:
    virtual ~Activity() = default;
    /** Looks at deadlines and at what other threads have signalled. */
    virtual void onTurn(Instant now) = 0;
    /** Ends it now; does nothing when it has ended. */
    virtual void cancel() = 0;
    virtual bool hasEnded() const = 0;
};

} // namespace Apricothook
