#pragma once

#include <apricothook/configuration/apricothook_configuration_event.hpp>
#include <apricothook/configuration/apricothook_configuration_keeper.hpp>
#include <apricothook/configuration/apricothook_freshness_check.hpp>
#include <apricothook/configuration/apricothook_order_context.hpp>
#include <apricothook/configuration/apricothook_order_plan.hpp>
#include <apricothook/ports/apricothook_target_event.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Apricothook {

struct EngineOrderLimits
{
    Duration firstRetry = std::chrono::seconds(1);
    Duration lastRetry = std::chrono::seconds(60);
    /** An order that hasn't ended by then is taken as lost and sent again. */
    Duration endPatience = std::chrono::seconds(120);
    /** How long an order may wait in the adapter before it must not be sent any more. */
    Duration sendPatience = std::chrono::seconds(2);
    FreshnessLimits freshness;
    auto operator<=>(const EngineOrderLimits &) const = default;
};

/** The fencing number of every order that a generation calls for. */
std::uint64_t fencingOf(Generation generation);

/**
 * Sends each engine that this daemon stewards the orders that the configuration in force calls for,
 * one at a time, until the engine has taken them. All state is derived: whoever becomes steward
 * sends all orders again, and an engine does nothing for an order already in force.
 */
class EngineOrders
{
public:
    explicit EngineOrders(ConfigurationSurroundings surroundings, EngineOrderLimits limits = {});

    /** A configuration came into force; `isFleetNew` as in ApplyConfiguration. */
    void applied(std::shared_ptr<const Configuration> configuration, bool isFleetNew, Instant now);
    void tick(Instant now, const OrderContext &context, Outbox &outbox,
              std::vector<EngineOrder> &orders);
    void digestReplied(const MemberId &from, const DigestReply &reply);
    void ended(const EngineOrderEnded &end, Instant now);
    /** The engine was out of reach and came back: what it had loaded may be gone. */
    void targetMayHaveRestarted(const TargetId &target);

private:
    enum class Place { Model, Adapter, Role };
    /** Orders of one slot replace each other: a load and an unload of the same model. */
    struct Slot
    {
        Place place = Place::Model;
        std::string subject;
        auto operator<=>(const Slot &) const = default;
    };
    struct Wish
    {
        EngineOrderKind kind = EngineOrderKind::LoadModel;
        std::string subject;
        std::string version;
        auto operator<=>(const Wish &) const = default;
    };
    struct Retry
    {
        Instant at {};
        Duration wait {};
    };
    struct Running
    {
        std::uint64_t id = 0;
        Slot slot;
        Wish wish;
        Generation generation;
        Instant lostAt {};
    };
    struct TargetState
    {
        TargetPlan plan;
        /** What the engine last took, as far as this daemon knows. */
        std::map<Slot, Wish> taken;
        std::map<Slot, Retry> retries;
        std::optional<Running> running;
        /** The engine has seen a higher generation: nothing more goes out under this one. */
        bool isFenced = false;
    };

    static Slot slotOf(const PlannedOrder &order);
    static Wish wishOf(const PlannedOrder &order);
    static bool isTaken(const TargetState &state, const PlannedOrder &order);
    void visit(TargetState &state, Instant now, const OrderContext &context, Outbox &outbox,
               std::vector<EngineOrder> &orders);
    void giveUpLost(TargetState &state, Instant now);
    const PlannedOrder *nextOrder(const TargetState &state, Instant now,
                                  const OrderContext &context) const;
    bool isDue(const TargetState &state, const PlannedOrder &order, Instant now,
               const OrderContext &context) const;
    bool isInTurn(const PlannedOrder &order, Instant now) const;
    void keepPace(const PlannedOrder &order, Instant now);
    std::optional<Instant> sendBefore(const TargetState &state, Instant now, Outbox &outbox);
    bool isOnLargerSide();
    void send(TargetState &state, const PlannedOrder &order, Instant now, Instant notAfter,
              std::vector<EngineOrder> &orders);
    void delay(TargetState &state, const Slot &slot, Instant now);
    void record(ConfigurationEvent event, const TargetState &state, const Wish &wish);

    ConfigurationSurroundings m_surroundings;
    EngineOrderLimits m_limits;
    FreshnessCheck m_freshness;
    std::shared_ptr<const Configuration> m_configuration;
    LoadSchedule m_schedule;
    std::map<TargetId, TargetState> m_targets;
    std::uint64_t m_lastId = 0;
    /** Loads out of turn go one after another at the weight store's rate. */
    Instant m_nextLoadOutOfTurn {};
    bool m_isHeld = false;
};

} // namespace Apricothook
