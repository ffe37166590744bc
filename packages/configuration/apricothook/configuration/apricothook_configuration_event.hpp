#pragma once

namespace Apricothook {

// clang-format off: one event a line, as docs/EVENTS.md is generated from these lines.

/** Numbered events of the configuration in force and of the orders to engines. */
enum class ConfigurationEvent : int {
    InForce
    = 600, ///< info: a generation is in force here; details name it and its hash. Operator: none.
    Rejected = 601,     ///< error: a fleet text was refused whole; details give the first error.
                        ///< Operator: correct the text and publish it under a higher revision.
    LowerIgnored = 602, ///< warning: an older generation than the one in force was offered.
                        ///< Operator: see whether the platform answers with stale data.
    TwoTextsOneGeneration = 603, ///< error: two texts carry the same revision. Operator: publish
                                 ///< the wanted text under a higher revision.
    JoinWithoutPeers = 604,    ///< warning: began to serve though too few peers answered. Operator:
                               ///< compare the generation with the other members'.
    JoinWithoutPlatform = 605, ///< warning: began to serve on the peers' word, without the
                               ///< platform. Operator: see why the platform doesn't answer.
    FetchTimedOut = 606,       ///< warning: a member didn't give its fleet text in time; another is
                               ///< asked. Operator: none.
    WatchingChanged
    = 607, ///< info: this daemon began or ceased to watch the platform. Operator: none.
    PlatformLost = 608,  ///< warning: the platform doesn't answer this watcher. Operator: see the
                         ///< platform; what is in force stays.
    PlatformBack = 609,  ///< info: the platform answers again. Operator: none.
    VmListInForce = 610, ///< info: a newer list of leaving VMs is in force. Operator: none.
    LateWake = 611,      ///< warning: this daemon stood still and asks its peers what it missed.
                         ///< Operator: see why the VM was paused.
    OrderSent = 620,     ///< info: an order went to an engine. Operator: none.
    OrderDone = 621,     ///< info: an engine took an order. Operator: none.
    OrderFailed = 622,   ///< warning: an engine didn't take an order; it is sent again later.
                         ///< Operator: see the engine when it goes on.
    OrderFenced = 623,   ///< warning: an engine has seen a higher generation than this daemon.
                         ///< Operator: none; the daemon asks for the newer text.
    OrderHeld = 624, ///< warning: no order goes to engines that don't check fencing, as freshness
                     ///< couldn't be confirmed. Operator: see whether members lost each other.
};

// clang-format on

} // namespace Apricothook
