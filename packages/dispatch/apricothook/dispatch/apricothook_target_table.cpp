#include <apricothook/dispatch/apricothook_target_table.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

/** Milliseconds for each token until there are samples: 100 tokens a millisecond. */
constexpr double DefaultFirstEvent = 0.01;
/** Milliseconds between events until there are samples. */
constexpr double DefaultGap = 25;
/** Milliseconds of a plain answer, and of a stream's whole length, until there are samples. */
constexpr double DefaultHold = 500;
/** Part by which each running request slows an engine's others: 0.097 of 3.41 ms a step. */
constexpr double SlowdownOfEach = 0.028;
/** Milliseconds that a certain failure is worth avoiding. */
constexpr double FailureCost = 2000;
/** How much dearer the last slot of a target is than the first: 8 makes one of two thirds load as
 * dear as an idle one that is four times slower. */
constexpr double ScarcityWeight = 2;
/** Parts of the time that a forecast may use; lengths are estimates, right at the median only. */
constexpr double FirstMargin = 0.8;
constexpr double EndMargin = 0.7;
/** Milliseconds that a target in another data centre must be better by, for the bytes between. */
constexpr double DistanceCost = 5;
/** First time for which a target that can't be reached is avoided; doubles up to the last. */
constexpr std::chrono::milliseconds FirstAvoidance {500};
constexpr std::chrono::milliseconds LastAvoidance {8000};
/** Failures in a row that aren't taken for chance. */
constexpr std::uint32_t FailuresByChance = 3;
/** Time for which a target that called itself full is left to work. */
constexpr std::chrono::milliseconds FullPause {100};

/**
 * Requests of this daemon and its cell at a target of another cell, while the own cell's targets
 * fail: what the other cell has there isn't known.
 */
constexpr std::uint32_t SlotsAtOtherCells = 1;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

std::uint64_t targetHash(const TargetInstance &start)
{
    return hashOf(start.id.text(), start.startedAt);
}

void TargetTable::put(const TargetEntry &entry, Instant now)
{
    TrackedTarget &target = m_targets[entry.id];
    const ServiceId before = target.entry.service;
    if (target.entry.instance() != entry.instance()) {
        m_numbers.erase(targetHash(target.entry.instance()));
        target = {};
    }
    target.entry = entry;
    noteCold(target, now + entry.remainingColdTime, now);
    m_numbers[targetHash(entry.instance())] = entry.id;
    target.requestsOfOthers = 0;
    for (const auto &[member, loads] : m_loadsOfMembers) {
        for (const TargetLoad &load : loads) {
            if (load.target == targetHash(entry.instance()))
                target.requestsOfOthers += load.running;
        }
    }
    if (before != entry.service)
        divide(before);
    divide(entry.service);
}

void TargetTable::remove(const TargetId &target)
{
    const TrackedTarget *known = find(target);
    if (!known)
        return;
    const ServiceId service = known->entry.service;
    m_numbers.erase(targetHash(known->entry.instance()));
    m_targets.erase(target);
    divide(service);
}

void TargetTable::setCells(const CellWeights &cells)
{
    if (cells == m_cells)
        return;
    m_cells = cells;
    divideAll();
}

void TargetTable::setServices(const std::vector<ServiceRule> &services, Instant now)
{
    m_cold.setServices(services);
    for (auto &[id, target] : m_targets)
        noteCold(target, target.coldUntil, now);
    divideAll();
}

void TargetTable::setColdTargetSenders(ColdTargetSenders fleet)
{
    const bool doubtedAll = m_cold.doubtsAll();
    if (!m_cold.setFleet(std::move(fleet)))
        return;
    if (doubtedAll || m_cold.doubtsAll())
        divideAll();
    else
        divideCold();
}

void TargetTable::setEvacuated(const DataCentreId &dataCentre, bool isEvacuated, Instant now)
{
    // An end may be heard of an evacuation that wasn't: this daemon started between them.
    if (isEvacuated)
        m_evacuated.insert(dataCentre);
    else
        m_evacuated.erase(dataCentre);
    for (auto &[id, target] : m_targets) {
        if (!isEvacuated && target.entry.dataCentre == dataCentre)
            noteCold(target, now + m_cold.coldTime(target.entry.service), now);
    }
    divideAll();
}

std::size_t TargetTable::countIn(const DataCentreId &dataCentre) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_targets, [&](const auto &entry) { return entry.second.entry.dataCentre == dataCentre; }));
}

std::size_t TargetTable::evacuatedCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_targets, [this](const auto &entry) {
        return m_evacuated.contains(entry.second.entry.dataCentre);
    }));
}

std::size_t TargetTable::coldCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_targets, [](const auto &entry) { return entry.second.isCold; }));
}

void TargetTable::noteCold(TrackedTarget &target, Instant until, Instant now) const
{
    // Never sooner than was heard before: entries may come into force out of order.
    target.coldUntil = std::max(target.coldUntil, until);
    target.isCold = target.coldUntil > now && m_cold.isBounded(target.entry.service);
}

void TargetTable::review(Instant now)
{
    if (!m_nextWarm || now < *m_nextWarm)
        return;
    std::set<ServiceId> warmed;
    for (auto &[id, target] : m_targets) {
        if (target.isCold && target.coldUntil <= now) {
            target.isCold = false;
            warmed.insert(target.entry.service);
        }
    }
    m_nextWarm.reset();
    for (const ServiceId &service : warmed)
        divide(service);
    divideCold();
}

bool TargetTable::takesWork(const TrackedTarget &target) const
{
    return !target.entry.isDraining && !m_evacuated.contains(target.entry.dataCentre);
}

std::uint32_t TargetTable::freeSlots(const TrackedTarget &target, Instant now) const
{
    const bool isBounded = target.mostInSecond != ColdTargetLimiter::Unlimited;
    if (isBounded && target.sends.count(now) >= target.mostInSecond)
        return 0;
    return target.cellSlots - std::min(target.cellSlots, target.load());
}

void TargetTable::divideAll()
{
    for (const auto &[service, targets] : m_services)
        divide(service);
}

void TargetTable::divideCold()
{
    std::set<ServiceId> services;
    for (const auto &[id, target] : m_targets) {
        if (target.isCold)
            services.insert(target.entry.service);
    }
    for (const ServiceId &service : services)
        divide(service);
}

void TargetTable::divide(const ServiceId &service)
{
    ServiceTargets &targets = m_services[service];
    targets = {};
    std::vector<TrackedTarget *> taking;
    std::vector<PartitionedTarget> slots;
    for (auto &[id, target] : m_targets) {
        if (target.entry.service != service)
            continue;
        targets.all.push_back(&target);
        target.cellSlots = 0;
        targets.evacuated += m_evacuated.contains(target.entry.dataCentre) ? 1 : 0;
        targets.cold += target.isCold ? 1 : 0;
        // One that takes nothing has no part: the others' work must not count on it.
        if (!takesWork(target))
            continue;
        if (target.isCold)
            m_nextWarm = std::min(m_nextWarm.value_or(target.coldUntil), target.coldUntil);
        taking.push_back(&target);
        // By the id alone: a target that starts again stays with its cell.
        slots.push_back({targetHash({id}), target.entry.slots});
    }
    const std::vector<std::uint32_t> parts = slotsOfCell(slots, m_cells);
    for (std::size_t index = 0; index < taking.size(); ++index) {
        TrackedTarget &target = *taking[index];
        target.mostInSecond
            = m_cold.mostInSecond(service, targetHash(target.entry.instance()), target.isCold);
        // It stays in the line, so that the cells' other slots don't move for seconds.
        const bool isOwn
            = target.mostInSecond > 0 && target.mostInSecond != ColdTargetLimiter::Unlimited;
        target.cellSlots = isOwn ? target.entry.slots : parts[index];
        if (target.mostInSecond == 0)
            target.cellSlots = 0;
        if (target.cellSlots > 0)
            targets.ofCell.push_back(taking[index]);
    }
}

const TargetTable::ServiceTargets &TargetTable::ofService(const ServiceId &service) const
{
    static const ServiceTargets None;
    const auto found = m_services.find(service);
    return found == m_services.end() ? None : found->second;
}

const TrackedTarget *TargetTable::find(const TargetId &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second;
}

TrackedTarget *TargetTable::find(const TargetId &target)
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second;
}

TrackedTarget *TargetTable::find(const TargetInstance &start)
{
    TrackedTarget *found = find(start.id);
    return found && found->entry.instance() == start ? found : nullptr;
}

void TargetTable::requestStarted(const TargetInstance &target, const RequestSize &work, Instant now)
{
    if (TrackedTarget *found = find(target)) {
        ++found->ownRequests;
        // Noted of warm ones too: what they got just before they turned cold counts.
        if (m_cold.isBounded(found->entry.service))
            found->sends.add(now);
        found->unreadTokens += work.promptTokens;
    }
}

void TargetTable::firstEventReceived(const TargetInstance &target, const RequestSize &work,
                                     Duration took)
{
    if (TrackedTarget *found = find(target)) {
        found->unreadTokens -= std::min(found->unreadTokens, work.promptTokens);
        found->speed.addFirstEvent(work.promptTokens, took);
    }
}

void TargetTable::requestEnded(const TargetInstance &target, const RequestSize &work,
                               TargetOutcome outcome, Duration held, bool hadFirstEvent,
                               Instant now)
{
    TrackedTarget *found = find(target);
    if (!found)
        return;
    found->ownRequests -= std::min(found->ownRequests, 1U);
    if (!hadFirstEvent)
        found->unreadTokens -= std::min(found->unreadTokens, work.promptTokens);
    if (outcome == TargetOutcome::Cancelled)
        return;
    if (outcome == TargetOutcome::Full) {
        found->avoidedUntil = std::max(found->avoidedUntil, now + FullPause);
        return;
    }
    found->speed.addEnd(held, outcome != TargetOutcome::Served);
    if (outcome == TargetOutcome::Served)
        found->failuresInRow = 0;
    else
        punish(*found, outcome, now);
}

void TargetTable::punish(TrackedTarget &target, TargetOutcome outcome, Instant now)
{
    ++target.failuresInRow;
    if (!m_policies.avoidance)
        return;
    // An error may be the request's fault; a missing connection is the target's.
    const std::uint32_t byChance = outcome == TargetOutcome::Unreachable ? 0 : FailuresByChance;
    if (target.failuresInRow <= byChance)
        return;
    constexpr std::uint32_t MostDoublings = 4;
    const std::uint32_t doublings = std::min(target.failuresInRow - byChance - 1, MostDoublings);
    const auto pause = std::min(FirstAvoidance * (1U << doublings), LastAvoidance);
    target.avoidedUntil = std::max(target.avoidedUntil, now + Duration(pause));
}

void TargetTable::setMemberLoad(std::uint64_t member, const std::vector<TargetLoad> &loads)
{
    const auto change = [this](const std::vector<TargetLoad> &of, bool add) {
        for (const TargetLoad &load : of) {
            const auto number = m_numbers.find(load.target);
            TrackedTarget *target = number == m_numbers.end() ? nullptr : find(number->second);
            if (!target)
                continue;
            target->requestsOfOthers = add
                ? target->requestsOfOthers + load.running
                : target->requestsOfOthers - std::min(target->requestsOfOthers, load.running);
        }
    };
    std::vector<TargetLoad> &kept = m_loadsOfMembers[member];
    change(kept, false);
    kept = loads;
    change(kept, true);
    if (loads.empty())
        m_loadsOfMembers.erase(member);
}

std::vector<TargetLoad> TargetTable::ownLoad() const
{
    std::vector<TargetLoad> loads;
    for (const auto &[id, target] : m_targets) {
        if (target.ownRequests > 0)
            loads.push_back({targetHash(target.entry.instance()), target.ownRequests});
    }
    return loads;
}

TargetTable::UsualSpeed TargetTable::usualSpeed(const ServiceId &service) const
{
    struct Sum
    {
        double total = 0;
        double count = 0;
        void add(const std::optional<double> &value)
        {
            total += value.value_or(0);
            count += value ? 1 : 0;
        }
        double meanOr(double otherwise) const { return count > 0 ? total / count : otherwise; }
    };
    Sum firstEvent;
    Sum gap;
    Sum hold;
    for (const TrackedTarget *target : ofService(service).all) {
        firstEvent.add(target->speed.firstEvent.value());
        gap.add(target->speed.eventGap.value());
        hold.add(target->speed.hold.value());
    }
    return {firstEvent.meanOr(DefaultFirstEvent), gap.meanOr(DefaultGap), hold.meanOr(DefaultHold)};
}

TargetTable::Forecast TargetTable::forecast(const TrackedTarget &target, const RequestSize &work,
                                            const UsualSpeed &usual) const
{
    const double slowdown = 1 + SlowdownOfEach * target.usedPart() * target.entry.slots;
    if (!work.isStream) {
        const double whole = target.speed.hold.value().value_or(usual.hold) * slowdown;
        return {whole, whole};
    }
    const double unread = static_cast<double>(work.promptTokens + target.unreadTokens);
    const double first
        = target.speed.firstEvent.value().value_or(usual.firstEvent) * (unread + FixedWorkTokens);
    const double gap = target.speed.eventGap.value().value_or(usual.eventGap);
    return {first, first + gap * static_cast<double>(work.events)};
}

double TargetTable::cost(const TrackedTarget &target, const Forecast &forecast) const
{
    const double used = target.usedPart();
    if (!m_policies.forecast)
        return used;
    // A slot of a fast target is worth keeping for long work that slow ones can't end in time.
    const double scarcity = m_policies.scarcity ? 1 + ScarcityWeight * used * used : 1;
    const double failure = FailureCost * target.speed.failures.value().value_or(0);
    const double distance = target.entry.dataCentre == m_own ? 0 : DistanceCost;
    return forecast.whole * scarcity + failure + distance;
}

const TrackedTarget *TargetTable::choose(const TargetWish &wish, Instant now) const
{
    const ServiceTargets &targets = ofService(wish.service);
    const Choice ofCell = chooseAmong(targets.ofCell, wish, false, now);
    if (ofCell.someIsSound || targets.ofCell.size() == targets.all.size())
        return ofCell.target;
    // The cell's own targets are all away, failing or tried already.
    const Choice ofOthers = chooseAmong(targets.all, wish, true, now);
    return ofOthers.target ? ofOthers.target : ofCell.target;
}

TargetTable::Choice TargetTable::chooseAmong(const std::vector<const TrackedTarget *> &candidates,
                                             const TargetWish &wish, bool ofOtherCells,
                                             Instant now) const
{
    struct Rank
    {
        bool isAvoided = true;
        bool missesEnd = true;
        bool missesFirst = true;
        double cost = 0;
        auto operator<=>(const Rank &) const = default;
    };
    const UsualSpeed usual = usualSpeed(wish.service);
    const double untilFirst = milliseconds(wish.untilFirst) * FirstMargin;
    const double untilEnd = milliseconds(wish.untilEnd) * EndMargin;
    const TrackedTarget *best = nullptr;
    Rank bestRank;
    bool fullOneWouldEnd = false;
    bool fullOneIsSound = false;
    for (const TrackedTarget *target : candidates) {
        if (!takesWork(*target) || wish.excluded.contains(target->entry.instance()))
            continue;
        if (target->mostInSecond == 0)
            continue;
        const Forecast expected = forecast(*target, wish.size, usual);
        const Rank rank {target->avoidedUntil > now, expected.whole > untilEnd,
                         expected.first > untilFirst, cost(*target, expected)};
        const bool isStranger = ofOtherCells && target->cellSlots == 0;
        const bool hasRoom
            = isStranger ? target->load() < SlotsAtOtherCells : freeSlots(*target, now) > 0;
        if (!hasRoom) {
            fullOneIsSound |= !rank.isAvoided;
            fullOneWouldEnd |= !rank.isAvoided && !rank.missesEnd;
        } else if (!best || rank < bestRank) {
            best = target;
            bestRank = rank;
        }
    }
    const bool someIsSound = fullOneIsSound || (best && !bestRank.isAvoided);
    // Work that its target can't end is thrown away with all that was read for it.
    if (best && bestRank.missesEnd && fullOneWouldEnd)
        return {nullptr, someIsSound};
    // A target that fails everything always has room.
    if (best && bestRank.isAvoided && fullOneIsSound)
        return {nullptr, someIsSound};
    return {best, someIsSound};
}

bool TargetTable::hasOther(const ServiceId &service, const std::set<TargetInstance> &excluded) const
{
    return std::ranges::any_of(ofService(service).all, [&, this](const TrackedTarget *target) {
        return takesWork(*target) && !excluded.contains(target->entry.instance());
    });
}

bool TargetTable::isEvacuated(const ServiceId &service) const
{
    bool someEvacuated = false;
    for (const TrackedTarget *target : ofService(service).all) {
        if (takesWork(*target))
            return false;
        someEvacuated |= !target->entry.isDraining;
    }
    return someEvacuated;
}

bool TargetTable::hasRoom(const ServiceId &service, Instant now) const
{
    const ServiceTargets &targets = ofService(service);
    const auto isSound = [now](const auto *target) { return target->avoidedUntil <= now; };
    const bool goesElsewhere = targets.ofCell.size() < targets.all.size()
        && std::ranges::none_of(targets.ofCell, isSound);
    return goesElsewhere || std::ranges::any_of(targets.ofCell, [this, now](const auto *target) {
               return freeSlots(*target, now) > 0;
           });
}

ServiceCapacity TargetTable::capacity(const ServiceId &service, Instant now) const
{
    ServiceCapacity room;
    for (const TrackedTarget *target : ofService(service).ofCell) {
        if (target->avoidedUntil > now)
            continue;
        room.slots += target->cellSlots;
        room.free += freeSlots(*target, now);
    }
    room.evacuated = ofService(service).evacuated;
    room.cold = ofService(service).cold;
    room.meanHoldTime = usualSpeed(service).hold;
    return room;
}

Duration TargetTable::expectedDuration(const ServiceId &service, const RequestSize &work) const
{
    const std::chrono::duration<double, std::milli> events(usualSpeed(service).eventGap
                                                           * static_cast<double>(work.events));
    return expectedTimeToFirstEvent(service, work) + std::chrono::duration_cast<Duration>(events);
}

Duration TargetTable::expectedTimeToFirstEvent(const ServiceId &service,
                                               const RequestSize &work) const
{
    const UsualSpeed usual = usualSpeed(service);
    const double expected = work.isStream
        ? usual.firstEvent * (static_cast<double>(work.promptTokens) + FixedWorkTokens)
        : usual.hold;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(expected));
}

} // namespace Apricothook
