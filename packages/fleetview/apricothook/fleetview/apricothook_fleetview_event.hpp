#pragma once

namespace Apricothook {

/** Events of what a serving daemon believes of the fleet. */
enum class FleetviewEvent : int {
    ProcessStarted = 851,  ///< info: the daemon listens; addresses, incarnation. Operator: none.
    ProcessStopping = 852, ///< info: a stop was asked for; open requests. Operator: none.
    ProcessStopped = 853,  ///< info: the daemon ends; open requests left. Operator: none.
    SettingsReread = 854,  ///< info: a reload was asked for; what changed. Operator: none.
    SourceLost = 855,      ///< warning: the configuration service can't be read; state, revision.
                           ///< Operator: look at the service; peers pass on what they hear.
    SourceRegained = 856,  ///< info: the configuration service can be read again; revision.
                           ///< Operator: none.
    ConfigurationTaken = 857, ///< info: a configuration came into force; generation, revision.
                              ///< Operator: none.
    ItemRejected = 858,       ///< error: a published item can't be read and is passed over; key,
                              ///< field. Operator: mend the item.
    TargetChanged = 859,      ///< info: a target came, changed or left; target, state, sequence of
                              ///< the target's write, revision. Operator: none.
    RemovalHeld = 860,        ///< info: a target's entry went while the service was away; the
                              ///< target is kept until it had time to register. Operator: none.
    MemberHeard = 861,        ///< info: a daemon's beacon came after silence; member, process.
                              ///< Operator: none.
    MemberSilent = 862,       ///< warning: a daemon's beacons stopped; member, age. Operator: look
                              ///< at the member when it stays silent.
    ItemsFromPeer = 863,      ///< info: a peer gave later items than this daemon had; peer,
                              ///< revisions. Operator: none.
    PeerItemsFailed = 864,    ///< warning: a peer that has later items didn't give them; peer,
                              ///< revisions. Operator: look at the peer when it goes on.
    ReadingChanged = 865,     ///< info: this daemon reads at the configuration service from now on,
                              ///< or leaves that to others of its cell; reads, revision. Operator:
                              ///< none.
    OldEntryIgnored = 866,   ///< info: a target that is leaving had written an entry before it said
                             ///< so, and the entry came into force only now; target, sequences,
                             ///< revision. Operator: none.
    EvacuationChanged = 867, ///< info: a data centre's targets get nothing more, or get requests
                             ///< again, as cold ones first; data centre, state, targets,
                             ///< revision. Operator: none.
    ColdViewChanged = 868,   ///< info: this daemon relies on more, or on less, where targets may be
                             ///< cold; view, members. Operator: none; see docs/OPERATIONS.md when
                             ///< callers are refused while a data centre warms up.
};

} // namespace Apricothook
