#pragma once

namespace Apricothook {

/** Events of the adapter that serves callers; numbers of the catalogue in docs/EVENTS.md. */
enum class CallerEvent : int {
    ListenFailed = 740,    ///< error: the callers' address can't be listened on; detail: address.
                           ///< Operator: free the address or correct callerAddress in the settings.
    ConnectionsFull = 741, ///< warning: a connection beyond the limit is refused; details: open,
                           ///< limit. Operator: add entry VMs or raise maximumConnections.
    HeadersTooSlow
    = 742, ///< info: a connection was closed as its headers didn't come in time. Operator: none.
    BodyRefused = 743,    ///< info: a body was refused; detail: reason. Operator: none.
    HeldBodiesFull = 744, ///< warning: the bodies held leave no room for another; detail: held.
                          ///< Operator: add entry VMs; look for callers that send large bodies.
    CallerHungUp = 745,   ///< info: the caller went away before its answer was whole; its work is
                          ///< cancelled; detail: exchange. Operator: none.
    InboxFull = 746, ///< warning: the core is behind; a request was refused as not run. Operator:
                     ///< add entry VMs; look for a burst.
};

} // namespace Apricothook
