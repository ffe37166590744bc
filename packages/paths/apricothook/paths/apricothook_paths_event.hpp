#pragma once

namespace Apricothook {

/** Events of a daemon's paths to targets and of its connections through other daemons. */
enum class PathsEvent : int {
    ReachConcluded = 881, ///< info: it was tested whether a target still accepts connections;
                          ///< target, conclusion, what this daemon and how many others found,
                          ///< failed attempts since the last test, duration. Operator: check the
                          ///< target if it is reached nowhere.
    PathLost = 882,       ///< warning: another daemon reaches a target that this one doesn't, so
                          ///< its requests go through other daemons; target, what this daemon
                          ///< found, one that reaches it, number of lost paths. Operator: check the
                          ///< network between this VM and the target.
    PathRestored = 883,   ///< info: this daemon reaches a target again; target, how long it didn't,
                          ///< number of paths that are still lost. Operator: none.
    RelayFailed = 884,    ///< info: another daemon didn't connect this one to a target; target,
                          ///< daemon, reason. Operator: check the daemon if it recurs.
    RelayOpened = 885,    ///< info: this daemon connected another one to a target; daemon, target.
                          ///< Operator: none.
    RelayRefused = 886,   ///< info: this daemon didn't connect another one to a target; source,
                          ///< target, reason. Operator: none.
    RelayStranger = 887,  ///< warning: a connection for daemons came from an address that belongs
                          ///< to none and was closed; source. Operator: find out who uses the port.
    RelayEnded = 888,     ///< info: a connection between another daemon and a target ended; daemon,
                          ///< target, bytes each way. Operator: none.
};

} // namespace Apricothook
