#pragma once

namespace Apricothook {

/** What a steward tells the log; see docs/EVENTS.md. */
enum class StewardEvent : int {
    ShardTaken = 400,      ///< info: This daemon became the steward of "shard". Operator: none.
    ShardLeft = 401,       ///< info: "shard" has another steward, "waiting" ask it. Operator: none.
    FloorRaised = 402,     ///< warning: "service" sheds tiers below "floor". Operator: add targets.
    FloorFell = 403,       ///< info: "service" admits tiers down to "floor". Operator: none.
    TargetSuspended = 404, ///< warning: "target" failed, a trial follows. Operator: look at it.
    TargetStraggles = 405, ///< warning: "target" is "factor" times too slow. Operator: look at it.
    HandOverEnded = 406,   ///< info: "shard" is ready with "running" in flight. Operator: none.
    LeasesLapsed = 407,    ///< warning: "count" reservations of "shard" lapsed. Operator: none.
};

} // namespace Apricothook
