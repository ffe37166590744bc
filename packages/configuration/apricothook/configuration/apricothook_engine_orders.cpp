#include <apricothook/configuration/apricothook_engine_orders.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

/** Leaves room below a generation for orders that may one day need a rank of their own. */
constexpr unsigned FencingShift = 16;
constexpr int StatusTaken = 200;
constexpr int StatusFenced = 409;
/** A network partition can leave at most one side with more than this share of the fleet. */
constexpr double HalfOfFleet = 0.5;

} // namespace

std::uint64_t fencingOf(Generation generation)
{
    // All orders of a generation carry one number. A counter below it would differ between two
    // stewards of the same generation, and an engine would refuse the later steward's orders.
    return generation.value() << FencingShift;
}

EngineOrders::EngineOrders(ConfigurationSurroundings surroundings, EngineOrderLimits limits)
    : m_surroundings(surroundings), m_limits(limits), m_freshness(limits.freshness)
{
}

void EngineOrders::applied(std::shared_ptr<const Configuration> configuration, bool isFleetNew,
                           Instant now)
{
    // A daemon that joins a running fleet takes its first text as what the engines have already:
    // its loads confirm, at its own pace, and don't wait for a turn among all the fleet's loads.
    const FleetText *previous = m_configuration ? &m_configuration->text : &configuration->text;
    m_schedule.update(configuration->text, isFleetNew ? nullptr : previous,
                      configuration->generation, now);
    auto plans = planOrders(configuration->text, previous, m_schedule);
    std::map<TargetId, TargetState> targets;
    for (TargetPlan &plan : plans) {
        TargetState &state = targets[plan.target];
        const auto known = m_targets.find(plan.target);
        if (known != m_targets.end()) {
            state.taken = std::move(known->second.taken);
            state.running = std::move(known->second.running);
        }
        state.plan = std::move(plan);
    }
    m_targets = std::move(targets);
    m_configuration = std::move(configuration);
}

void EngineOrders::tick(Instant now, const OrderContext &context, Outbox &outbox,
                        std::vector<EngineOrder> &orders)
{
    for (auto &[id, state] : m_targets)
        visit(state, now, context, outbox, orders);
}

void EngineOrders::visit(TargetState &state, Instant now, const OrderContext &context,
                         Outbox &outbox, std::vector<EngineOrder> &orders)
{
    if (!context.isMine(state.plan.target)) {
        // Another steward gives this engine orders now; what it took from here may be undone.
        state.taken.clear();
        return;
    }
    giveUpLost(state, now);
    if (state.running || state.isFenced)
        return;
    const PlannedOrder *order = nextOrder(state, now, context);
    if (!order)
        return;
    if (const auto notAfter = sendBefore(state, now, outbox))
        send(state, *order, now, *notAfter, orders);
}

void EngineOrders::giveUpLost(TargetState &state, Instant now)
{
    if (!state.running || now < state.running->lostAt)
        return;
    const Running lost = *state.running;
    state.running.reset();
    // It may or may not have been taken: the slot's state is unknown.
    state.taken.erase(lost.slot);
    delay(state, lost.slot, now);
    record(ConfigurationEvent::OrderFailed, state, lost.wish);
}

const PlannedOrder *EngineOrders::nextOrder(const TargetState &state, Instant now,
                                            const OrderContext &context) const
{
    for (const PlannedOrder &order : state.plan.orders) {
        if (isDue(state, order, now, context))
            return &order;
    }
    return nullptr;
}

bool EngineOrders::isDue(const TargetState &state, const PlannedOrder &order, Instant now,
                         const OrderContext &context) const
{
    if (isTaken(state, order) || (order.turn && now < *order.turn))
        return false;
    const auto retry = state.retries.find(slotOf(order));
    if (retry != state.retries.end() && now < retry->second.at)
        return false;
    // Unloading under a running request would cut its answer: it waits until the last one ended.
    if (order.kind == EngineOrderKind::UnloadModel)
        return !context.isInUse(state.plan.target, ModelId(order.subject));
    if (order.kind == EngineOrderKind::LoadAdapter) {
        const auto model = state.taken.find(Slot {Place::Model, order.afterModel});
        return model != state.taken.end() && model->second.kind == EngineOrderKind::LoadModel
            && model->second.version == order.version;
    }
    return order.kind != EngineOrderKind::LoadModel || isInTurn(order, now)
        || now >= m_nextLoadOutOfTurn;
}

bool EngineOrders::isInTurn(const PlannedOrder &order, Instant now) const
{
    const Duration time = loadTime(order.bytes, m_configuration->text.policy);
    return order.turn && now >= *order.turn && now < *order.turn + time;
}

void EngineOrders::keepPace(const PlannedOrder &order, Instant now)
{
    // Out of turn are retries, engines that came back, and targets taken over from a dead steward.
    // When a rack comes back, each of its stewards draws from the weight store one load at a time.
    if (!isInTurn(order, now))
        m_nextLoadOutOfTurn = now + loadTime(order.bytes, m_configuration->text.policy);
}

std::optional<Instant> EngineOrders::sendBefore(const TargetState &state, Instant now,
                                                Outbox &outbox)
{
    const Instant patience = now + m_limits.sendPatience;
    if (state.plan.checksFencing || m_configuration->text.roster.size() == 1)
        return patience;
    if (!isOnLargerSide())
        return std::nullopt;
    const Generation own = m_configuration->generation;
    const auto until = m_freshness.freshUntil(own, now);
    if (!until)
        m_freshness.ask(own, m_surroundings.members, now, m_surroundings.random, outbox);
    return until;
}

bool EngineOrders::isOnLargerSide()
{
    // In a network partition the other side may have a newer text, and nobody here can know. Only
    // a side with more than half of the fleet gives such engines orders: there is at most one.
    const MemberView &members = m_surroundings.members;
    const bool isHeld = members.visibleShare() <= HalfOfFleet || members.live().size() < 2;
    if (isHeld && !m_isHeld)
        m_surroundings.events.record({static_cast<int>(ConfigurationEvent::OrderHeld), RequestKey(),
                                      "visible=" + std::to_string(members.visibleShare())});
    m_isHeld = isHeld;
    return !isHeld;
}

void EngineOrders::send(TargetState &state, const PlannedOrder &order, Instant now,
                        Instant notAfter, std::vector<EngineOrder> &orders)
{
    if (order.kind == EngineOrderKind::LoadModel)
        keepPace(order, now);
    const Generation generation = m_configuration->generation;
    state.running = Running {++m_lastId, slotOf(order), wishOf(order), generation,
                             now + m_limits.endPatience};
    orders.push_back({m_lastId, state.plan.target, state.plan.address, order.kind, order.subject,
                      order.version, fencingOf(generation), notAfter});
    record(ConfigurationEvent::OrderSent, state, state.running->wish);
}

void EngineOrders::ended(const EngineOrderEnded &end, Instant now)
{
    const auto found = m_targets.find(end.target);
    if (found == m_targets.end())
        return;
    TargetState &state = found->second;
    if (!state.running || state.running->id != end.id)
        return;
    const Running done = *state.running;
    state.running.reset();
    if (end.status == StatusTaken) {
        state.taken[done.slot] = done.wish;
        state.retries.erase(done.slot);
        record(ConfigurationEvent::OrderDone, state, done.wish);
        return;
    }
    state.taken.erase(done.slot);
    if (end.status == StatusFenced && done.generation == m_configuration->generation) {
        state.isFenced = true;
        record(ConfigurationEvent::OrderFenced, state, done.wish);
        return;
    }
    delay(state, done.slot, now);
    record(ConfigurationEvent::OrderFailed, state, done.wish);
}

void EngineOrders::digestReplied(const MemberId &from, const DigestReply &reply)
{
    m_freshness.replied(from, reply);
}

void EngineOrders::targetMayHaveRestarted(const TargetId &target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.taken.clear();
}

void EngineOrders::delay(TargetState &state, const Slot &slot, Instant now)
{
    Retry &retry = state.retries[slot];
    retry.wait = retry.wait == Duration::zero() ? m_limits.firstRetry
                                                : std::min(retry.wait * 2, m_limits.lastRetry);
    const auto jitter = static_cast<Duration::rep>(
        m_surroundings.random.next() % static_cast<std::uint64_t>(retry.wait.count()));
    retry.at = now + retry.wait / 2 + Duration(jitter);
}

EngineOrders::Slot EngineOrders::slotOf(const PlannedOrder &order)
{
    switch (order.kind) {
    case EngineOrderKind::SetRole:
        return {Place::Role, ""};
    case EngineOrderKind::LoadAdapter:
        return {Place::Adapter, order.afterModel + '/' + order.subject};
    case EngineOrderKind::LoadModel:
    case EngineOrderKind::UnloadModel:
        break;
    }
    return {Place::Model, order.subject};
}

EngineOrders::Wish EngineOrders::wishOf(const PlannedOrder &order)
{
    return {order.kind, order.subject, order.version};
}

bool EngineOrders::isTaken(const TargetState &state, const PlannedOrder &order)
{
    const auto taken = state.taken.find(slotOf(order));
    return taken != state.taken.end() && taken->second == wishOf(order);
}

void EngineOrders::record(ConfigurationEvent event, const TargetState &state, const Wish &wish)
{
    m_surroundings.events.record({static_cast<int>(event), RequestKey(),
                                  "target=" + state.plan.target.text() + " subject=" + wish.subject
                                      + " version=" + wish.version + " generation="
                                      + std::to_string(m_configuration->generation.value())});
}

} // namespace Apricothook
