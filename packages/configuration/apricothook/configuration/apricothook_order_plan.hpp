#pragma once

#include <apricothook/configuration/apricothook_load_schedule.hpp>
#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/ports/apricothook_target_order.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Apricothook {

/** One order that a fleet text calls for. */
struct PlannedOrder
{
    EngineOrderKind kind = EngineOrderKind::LoadModel;
    std::string subject;
    std::string version;
    /** For adapters: the model that must be loaded first. */
    std::string afterModel;
    /** Bytes that the order draws from the weight store. */
    std::uint64_t bytes = 0;
    /** Not sent before; a load without a turn goes at the sender's own pace. */
    std::optional<Instant> turn;
    auto operator<=>(const PlannedOrder &) const = default;
};

/** The orders for one engine, in the order in which they are to be sent. */
struct TargetPlan
{
    TargetId target;
    Endpoint address;
    bool checksFencing = false;
    std::vector<PlannedOrder> orders;
    auto operator<=>(const TargetPlan &) const = default;
};

/**
 * Derives the orders for every engine. Models that the text, or the one before, names elsewhere are
 * unloaded; where a model moves, its old place is kept until its loads had their turns, as the new
 * place must be ready first. `previous` may be null.
 */
std::vector<TargetPlan> planOrders(const FleetText &current, const FleetText *previous,
                                   const LoadSchedule &schedule);

} // namespace Apricothook
