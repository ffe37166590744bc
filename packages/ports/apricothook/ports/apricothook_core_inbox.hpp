#pragma once

#include <apricothook/ports/apricothook_core_event.hpp>

namespace Apricothook {

/** Passes events to the decision core; callable from any thread. */
class CoreInbox
{
public:
    virtual ~CoreInbox() = default;
    /** False if the core is overloaded: the caller must refuse the work as not run and not wait. */
    virtual bool tryPost(CoreEvent event) = 0;
    /**
     * For events that must not be lost, such as the end of a dispatch. They are buffered before the
     * queue until it has capacity; their number is bounded by the admitted work.
     */
    virtual void post(CoreEvent event) = 0;
};

} // namespace Apricothook
