#pragma once

#include <apricothook/ports/apricothook_core_event.hpp>

namespace Apricothook {

/** The way into the decision core, from any thread. */
class CoreInbox
{
public:
    virtual ~CoreInbox() = default;
    /** False when the core is behind: the giver must refuse its work as not run, never wait. */
    virtual bool tryPost(CoreEvent event) = 0;
    /**
     * For events that must not be lost, such as the end of a dispatch: kept by the giver's side of
     * the ring until there is room. There are at most as many of them as there is work admitted.
     */
    virtual void post(CoreEvent event) = 0;
};

} // namespace Apricothook
