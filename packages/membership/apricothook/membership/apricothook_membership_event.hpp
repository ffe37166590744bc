#pragma once

namespace Apricothook {

// clang-format off: the catalogue is generated from these lines, one enumerator each.

/** Events of the membership; see docs/EVENTS.md. */
enum class MembershipEvent : int {
    FleetJoined = 500,  ///< info: this daemon got its first member list. Operator: none.
    MemberJoined = 501, ///< info: a member was heard of for the first time. Operator: none.
    MemberReplaced
    = 502, ///< info: a member's name was taken over by a new process. Operator: none.
    MemberSuspected = 503, ///< info: a member didn't answer probes and may be dead. Operator: none.
    MemberDied = 504, ///< warning: a member was declared dead without having left. Operator: look
                      ///< at the VM if the platform doesn't replace it.
    MemberReturned
    = 505, ///< info: a member that was suspected or dead has answered. Operator: none.
    MemberLeaving = 506, ///< info: a member has begun to leave. Operator: none.
    MemberLeft = 507,    ///< info: a member that was leaving is gone. Operator: none.
    SelfRefuted = 508,   ///< info: others took this daemon for dead and were told otherwise.
                         ///< Operator: look at the VM's processor and network if it happens often.
    ObsoleteLife
    = 509, ///< error: a newer process has this daemon's name; this one drains and stops. Operator:
           ///< find out why two processes had one name unless the VM was replaced.
    PauseNoticed = 510, ///< warning: this daemon didn't run for a while; pending time-outs start
                        ///< anew. Operator: look at the VM's processor if it happens often.
    PartitionSuspected
    = 511, ///< error: so many members were lost at once that a network partition is likely.
           ///< Operator: check the links between data centres and regions.
    PartitionEnded = 512, ///< info: the lost members are back or no longer count. Operator: none.
    JoinRetried = 513,    ///< warning: no seed has answered yet; asked again. Operator: check the
                          ///< seeds and the peer key if it goes on.
};

// clang-format on

} // namespace Apricothook
