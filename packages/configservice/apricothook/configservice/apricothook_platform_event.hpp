#pragma once

namespace Apricothook {

// clang-format off: one event a line, as docs/EVENTS.md is generated from these lines.

/** Numbered events of the adapters to the platform and of JSON-RPC between members. */
enum class PlatformEvent : int {
    RpcListenFailed = 640, ///< error: the peer address can't be listened on over TCP. Operator: see
                           ///< which process holds the port.
    RpcRefused = 641, ///< warning: a call between members failed its seal; details give the reason.
                      ///< Operator: compare the peer keys and the clocks of both VMs.
    PlatformMalformed = 642, ///< error: the platform's answer can't be understood; details name the
                             ///< path. Operator: see what the platform serves there.
    FetchFailed = 643,   ///< warning: a member's text couldn't be fetched; details name the member
                         ///< and the reason. Operator: none when it doesn't go on.
    PlatformStale = 644, ///< warning: the platform answers with a revision that isn't above the one
                         ///< in force here; it is ignored. Operator: see whether the platform lost
                         ///< data; publish under a higher revision.
};

// clang-format on

} // namespace Apricothook
