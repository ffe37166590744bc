#pragma once

namespace Apricothook {

/** Events of a serving daemon's process and of its view of the fleet. */
enum class FleetviewEvent : int {
    ProcessStarted = 851,  ///< info: the daemon listens; addresses, incarnation. Operator: none.
    ProcessStopping = 852, ///< info: a shutdown was requested; open requests. Operator: none.
    ProcessStopped = 853,  ///< info: the daemon exits; remaining open requests. Operator: none.
    SettingsReread = 854,  ///< info: a reload was requested; what changed. Operator: none.
    SourceLost = 855,      ///< warning: the configuration service can't be read; state, revision,
                           ///< cause, bytes and duration of the failed call. Operator: check the
                           ///< service; updates still arrive through peers that can read it.
    SourceRegained = 856,  ///< info: the configuration service can be read again; revision.
                           ///< Operator: none.
    ConfigurationTaken = 857, ///< info: a configuration took effect; generation, revision.
                              ///< Operator: none.
    ItemRejected = 858,       ///< error: a published item can't be parsed and is ignored; key,
                              ///< field. Operator: correct the item.
    TargetChanged = 859,      ///< info: a target was added, changed or removed; target, state,
                              ///< sequence of the target's write, revision. Operator: none.
    RemovalHeld = 860,        ///< info: a target's entry was removed during an outage of the
                              ///< service; the target is kept until it has had time to register
                              ///< again. Operator: none.
    MemberHeard = 861,        ///< info: a heartbeat arrived from a daemon that was new or silent;
                              ///< member, process. Operator: none.
    MemberSilent = 862,    ///< warning: a daemon's heartbeats stopped; member, leaving. Operator:
                           ///< check the member if it stays silent.
    ItemsFromPeer = 863,   ///< info: a peer delivered newer items than this daemon had; peer,
                           ///< revisions, bytes and duration. Operator: none.
    PeerItemsFailed = 864, ///< warning: a peer that has newer items didn't deliver them; peer,
                           ///< revisions, cause, bytes and duration. Operator: check the peer if
                           ///< this continues.
    ReadingChanged = 865,  ///< info: this daemon has started to read at the configuration
                           ///< service, or has left that to others of its cell; reads, revision.
                           ///< Operator: none.
    OldEntryIgnored = 866, ///< info: an entry that a target wrote before it announced that it is
                           ///< leaving arrived only afterwards and was ignored; target, sequences,
                           ///< revision. Operator: none.
    EvacuationChanged = 867, ///< info: a data centre's targets get no more requests, or get
                             ///< requests again, treated as cold at first; data centre, state,
                             ///< targets, revision. Operator: none.
    ColdViewChanged = 868, ///< info: this daemon's confidence in its view of cold targets changed;
                           ///< view, members. Operator: none; see docs/OPERATIONS.md if callers
                           ///< are refused while a data centre warms up.
    ViewOld = 869, ///< warning: nobody has confirmed for some time that this daemon knows all
                   ///< published changes, so it reads at the configuration service; age, revision,
                   ///< whether it was reading already. Operator: check its way to the service and
                   ///< to its cell if no ViewConfirmed follows within seconds.
    ViewConfirmed = 870, ///< info: this daemon's view is confirmed again; age, revision. Operator:
                         ///< none.
    LoopHeldUp = 871,    ///< info: the event loop ran later than planned: an event took long, or
                         ///< the process got no processor; for how long. Operator: check the load
                         ///< of the VM if it recurs.
    FormerInstanceHeld = 872, ///< info: an entry with an earlier start than the target's latest one
                              ///< is held back, as a write of a process that has ended may take
                              ///< effect late; target, both starts, state, sequence, revision.
                              ///< Operator: none.
    FormerInstanceBelieved = 873, ///< warning: an entry with an earlier start is in force, as the
                                  ///< later process has written nothing for some time; target,
                                  ///< start, sequence. Operator: check the clock of the target's
                                  ///< VM.
};

} // namespace Apricothook
