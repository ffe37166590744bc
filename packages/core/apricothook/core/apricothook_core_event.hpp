#pragma once

namespace Apricothook {

// clang-format off
/** Events about the daemon as a whole. */
enum class DaemonEvent : int {
    Started = 101, ///< info: the process runs and joins the fleet; member, incarnation. Operator: none.
    Ready = 102, ///< info: a configuration is in force and callers are served; generation. Operator: none.
    ConfigurationApplied = 103, ///< info: a generation is in force at this daemon. Operator: none.
    LeaveBegan = 104, ///< info: the daemon leaves the lookups and goes on serving. Operator: none.
    EntryClosed = 105, ///< info: new requests are refused from now on, as kept lookups have lapsed; exchanges still open. Operator: none.
    Drained = 106, ///< info: nothing is in flight any more and the process ends. Operator: none.
    Obsolete = 107, ///< error: a newer life of this member is in the fleet; this one leaves. Operator: see that no two processes have the same id in their settings.
    CoreLate = 108, ///< warning: the decision thread stood still; milliseconds. Operator: look for a paused VM or too little processor.
};
// clang-format on

} // namespace Apricothook
