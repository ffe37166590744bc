#include <apricothook/dispatch/apricothook_target_table.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Apricothook {

namespace {

/** Milliseconds per token until there are samples: 100 tokens a millisecond. */
constexpr double DefaultFirstEvent = 0.01;
/** Milliseconds between events until there are samples. */
constexpr double DefaultGap = 25;
/** Milliseconds of a plain answer, and of a complete stream, until there are samples. */
constexpr double DefaultHoldTime = 500;
/**
 * Fraction by which each running request slows down the others of an engine: 0.097 of 3.41 ms a
 * step.
 */
constexpr double SlowdownPerRequest = 0.028;
/** Cost of a certain failure, in milliseconds. */
constexpr double FailureCost = 2000;
/**
 * Additional cost of a target's last slot compared to its first: 8 makes a target at two thirds
 * load as expensive as an idle one that is four times slower.
 */
constexpr double ScarcityWeight = 2;
/**
 * Fractions of the remaining time that a forecast may use; lengths are estimates that are right at
 * the median only.
 */
constexpr double FirstEventMargin = 0.8;
constexpr double EndMargin = 0.7;
/**
 * Milliseconds by which a target in another data centre must be faster, for the bytes sent between
 * them.
 */
constexpr double DistanceCost = 5;
/** Initial time for which an unreachable target is avoided; doubles up to LastAvoidance. */
constexpr std::chrono::milliseconds FirstAvoidance {500};
constexpr std::chrono::milliseconds LastAvoidance {8000};
/** Consecutive failures that are attributed to chance. */
constexpr std::uint32_t ToleratedFailures = 3;
/** Time for which a target that reported to be full gets no requests. */
constexpr std::chrono::milliseconds FullPause {100};
/** The same for a brittle target: it counts its rejections within a second. */
constexpr std::chrono::seconds BrittlePause {1};
/** Time for which a target gets no requests until it is known whether it or the path failed. */
constexpr std::chrono::milliseconds LossPause {500};

/**
 * Requests that this daemon and its cell may have at a target of another cell while the own cell's
 * targets fail; the other cell's load there isn't known.
 */
constexpr std::uint32_t SlotsAtOtherCells = 1;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

std::uint64_t targetHash(const TargetInstance &instance)
{
    return hashOf(instance.id.text(), instance.startedAt);
}

std::uint64_t rejectionLimitHash(std::uint64_t target)
{
    return hashOf("rejections", target);
}

void TargetTable::put(const TargetEntry &entry, Instant now)
{
    TrackedTarget &target = m_targets[entry.id];
    const ServiceId before = target.entry.service;
    if (target.entry.instance() != entry.instance()) {
        m_idsByHash.erase(targetHash(target.entry.instance()));
        target = {};
    }
    // Two versions of one instance contradict each other, so neither is known to be true.
    const bool isContradictory
        = !target.entry.id.isEmpty() && target.entry.version != entry.version;
    target.entry = entry;
    if (isContradictory)
        target.entry.version = TargetVersion();
    updateCold(target, now + entry.remainingColdTime, now);
    m_idsByHash[targetHash(entry.instance())] = entry.id;
    target.requestsOfOthers = 0;
    target.promptTokensOfOthers = 0;
    for (const auto &[member, loads] : m_memberLoads) {
        for (const TargetLoad &load : loads) {
            if (load.target != targetHash(entry.instance()))
                continue;
            target.requestsOfOthers += load.running;
            target.promptTokensOfOthers += load.unreadTokens;
        }
    }
    if (before != entry.service)
        assignSlots(before);
    assignSlots(entry.service);
}

void TargetTable::remove(const TargetId &target)
{
    const TrackedTarget *known = find(target);
    if (!known)
        return;
    const ServiceId service = known->entry.service;
    m_idsByHash.erase(targetHash(known->entry.instance()));
    m_targets.erase(target);
    assignSlots(service);
}

void TargetTable::setCells(const CellWeights &cells)
{
    if (cells == m_cells)
        return;
    m_cells = cells;
    assignAllSlots();
}

void TargetTable::setServices(const std::vector<ServiceRule> &services, Instant now)
{
    m_coldLimiter.setServices(services);
    for (auto &[id, target] : m_targets)
        updateCold(target, target.coldUntil, now);
    assignAllSlots();
}

void TargetTable::setGapObjectives(std::map<ServiceId, Duration> objectives)
{
    m_gapObjectives = std::move(objectives);
}

void TargetTable::setColdTargetSenders(ColdTargetSenders fleet)
{
    const bool treatedAllAsCold = m_coldLimiter.treatsAllAsCold();
    if (!m_coldLimiter.setSenders(std::move(fleet)))
        return;
    if (treatedAllAsCold || m_coldLimiter.treatsAllAsCold())
        assignAllSlots();
    else
        assignColdSlots();
}

void TargetTable::setEvacuated(const DataCentreId &dataCentre, bool isEvacuated, Instant now)
{
    // The end of an evacuation may be reported without its start, if this daemon started in
    // between.
    if (isEvacuated)
        m_evacuated.insert(dataCentre);
    else
        m_evacuated.erase(dataCentre);
    for (auto &[id, target] : m_targets) {
        if (!isEvacuated && target.entry.dataCentre == dataCentre)
            updateCold(target, now + m_coldLimiter.coldTime(target.entry.service), now);
    }
    assignAllSlots();
}

std::size_t TargetTable::countIn(const DataCentreId &dataCentre) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_targets, [&](const auto &entry) { return entry.second.entry.dataCentre == dataCentre; }));
}

std::vector<Endpoint> TargetTable::addressesOfOthers(const TargetId &target) const
{
    std::vector<Endpoint> addresses;
    for (const auto &[id, tracked] : m_targets) {
        if (id != target)
            addresses.push_back(tracked.entry.address);
    }
    return addresses;
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

void TargetTable::updateCold(TrackedTarget &target, Instant until, Instant now) const
{
    // The time is never shortened: entries may take effect out of order.
    target.coldUntil = std::max(target.coldUntil, until);
    target.isCold = target.coldUntil > now && m_coldLimiter.isLimited(target.entry.service);
}

void TargetTable::review(Instant now)
{
    if (!m_nextWarmTime || now < *m_nextWarmTime)
        return;
    std::set<ServiceId> warmed;
    for (auto &[id, target] : m_targets) {
        if (target.isCold && target.coldUntil <= now) {
            target.isCold = false;
            warmed.insert(target.entry.service);
        }
    }
    m_nextWarmTime.reset();
    for (const ServiceId &service : warmed)
        assignSlots(service);
    assignColdSlots();
}

bool TargetTable::acceptsRequests(const TrackedTarget &target) const
{
    return !target.entry.isDraining && !m_evacuated.contains(target.entry.dataCentre);
}

std::uint32_t TargetTable::freeSlots(const TrackedTarget &target, Instant now) const
{
    const bool isLimited = target.sendsPerSecond != ColdTargetLimiter::Unlimited;
    if (isLimited && target.recentSends.count(now) >= target.sendsPerSecond)
        return 0;
    if (target.awaitsUnit || target.heldUntil > now)
        return 0;
    // An empty slot of a brittle target that has just rejected a request isn't one.
    if (target.hasOwnShare && target.avoidedUntil > now)
        return 0;
    return target.cellSlots - std::min(target.cellSlots, target.load());
}

std::optional<Instant> TargetTable::turnOf(const TrackedTarget &target,
                                           const std::vector<std::uint64_t> &contenders,
                                           Instant now) const
{
    // The slots of a brittle target and the sends to a cold one are divided among the daemons.
    const bool isDivided
        = target.hasOwnShare || target.sendsPerSecond != ColdTargetLimiter::Unlimited;
    const std::optional<Instant> since = target.freed.firstSharedSince();
    if (!m_policies.slotTurns || contenders.empty() || isDivided || target.freed.reserved() > 0
        || !since)
        return std::nullopt;
    const std::vector<Instant> fills = target.freed.fillsAfter(now - SlotTurns::TurnLength);
    const Instant turn
        = m_turns.opensAt(targetHash(target.entry.instance()), target.freed.shared(), *since,
                          contenders, static_cast<std::uint32_t>(fills.size()));
    // After a turn, this daemon knows which slots the others have filled.
    return turn > now && !fills.empty() ? std::min(turn, fills.front() + SlotTurns::TurnLength)
                                        : turn;
}

bool TargetTable::hasOpenSlot(const TrackedTarget &target,
                              const std::vector<std::uint64_t> &contenders, Instant now) const
{
    return freeSlots(target, now) > 0 && turnOf(target, contenders, now).value_or(now) <= now;
}

SlotFill TargetTable::slotFill(const TrackedTarget &target,
                               const std::vector<std::uint64_t> &contenders, Instant now) const
{
    if (const std::optional<Instant> turn = turnOf(target, contenders, now)) {
        const Instant since = target.freed.firstSharedSince().value_or(now);
        return {*turn > since ? SlotFillCause::LaterTurn : SlotFillCause::FirstTurn, now - since};
    }
    const bool isOwn = !contenders.empty() && target.freed.reserved() > 0;
    return {isOwn ? SlotFillCause::OwnSlot : SlotFillCause::Unrestricted, std::nullopt};
}

std::optional<Instant> TargetTable::nextTurn(const ServiceId &service,
                                             const std::vector<std::uint64_t> &contenders,
                                             Instant now) const
{
    std::optional<Instant> next;
    for (const TrackedTarget *target : targetsOf(service).ofCell) {
        const std::optional<Instant> turn
            = freeSlots(*target, now) > 0 ? turnOf(*target, contenders, now) : std::nullopt;
        if (turn && *turn > now)
            next = std::min(next.value_or(*turn), *turn);
    }
    return next;
}

void TargetTable::updateFreed(TrackedTarget &target, SlotChange change, Instant now)
{
    target.freed.update(target.cellSlots - std::min(target.cellSlots, target.load()), change, now);
}

void TargetTable::recordReport(Instant now)
{
    for (auto &[id, target] : m_targets)
        target.freed.recordReport(now);
}

std::uint32_t TargetTable::usableSlots(const TrackedTarget &target, double meanHoldTime) const
{
    if (!target.limitPerSecond)
        return target.cellSlots;
    constexpr double MillisecondsPerSecond = 1000;
    const double share = target.cellSlots / std::max<double>(target.entry.slots, 1);
    const double occupied = *target.limitPerSecond * share * meanHoldTime / MillisecondsPerSecond;
    return static_cast<std::uint32_t>(std::min<double>(target.cellSlots, std::ceil(occupied)));
}

TrackedTarget *TargetTable::findByHash(std::uint64_t target)
{
    const auto id = m_idsByHash.find(target);
    return id == m_idsByHash.end() ? nullptr : find(id->second);
}

void TargetTable::setShareMembers(std::vector<std::uint64_t> members, Duration settling,
                                  Instant now)
{
    const bool isChanged = m_shares.setMembers(std::move(members), settling, now);
    if (m_shares.review(now) || isChanged)
        assignBrittleSlots();
}

void TargetTable::setBrittle(std::uint64_t target, std::optional<double> rejectionsPerSecond)
{
    TrackedTarget *found = findByHash(target);
    if (!found || found->rejectionsPerSecond == rejectionsPerSecond)
        return;
    found->rejectionsPerSecond = rejectionsPerSecond;
    assignSlots(found->entry.service);
}

std::size_t TargetTable::brittleCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_targets, [](const auto &entry) { return entry.second.hasOwnShare; }));
}

void TargetTable::recordFull(std::uint64_t target, Instant now)
{
    TrackedTarget *found = findByHash(target);
    if (found && found->hasOwnShare)
        pause(*found, BrittlePause, now);
}

void TargetTable::assignBrittleSlots()
{
    std::set<ServiceId> services;
    for (const auto &[service, targets] : m_services) {
        if (targets.isBrittle)
            services.insert(service);
    }
    for (const ServiceId &service : services)
        assignSlots(service);
}

void TargetTable::assignShares(const std::vector<TrackedTarget *> &accepting)
{
    std::uint32_t shares = 0;
    std::optional<double> rejections;
    for (TrackedTarget *target : accepting) {
        target->hasOwnShare = true;
        target->cellSlots = m_shares.share(targetHash({target->entry.id}), target->entry.slots);
        shares += target->cellSlots;
        if (const std::optional<double> named = target->rejectionsPerSecond)
            rejections = std::min(rejections.value_or(*named), *named);
    }
    // A daemon without any slot would refuse all of its callers.
    for (TrackedTarget *target : accepting) {
        if (shares > 0 || target->limitPerSecond)
            continue;
        target->rejectionUnits = rejections;
        target->cellSlots = 1;
    }
}

void TargetTable::setLimit(std::uint64_t target, std::optional<double> perSecond)
{
    TrackedTarget *found = findByHash(target);
    if (!found || found->limitPerSecond == perSecond)
        return;
    found->limitPerSecond = perSecond;
    found->heldUntil = {};
}

std::string TargetTable::nameOf(std::uint64_t target) const
{
    const auto id = m_idsByHash.find(target);
    return id == m_idsByHash.end() ? std::string() : id->second.text();
}

std::size_t TargetTable::limitedCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_targets, [](const auto &entry) { return entry.second.limitPerSecond.has_value(); }));
}

void TargetTable::unitRequested(const TargetInstance &target)
{
    if (TrackedTarget *found = find(target))
        found->awaitsUnit = true;
}

void TargetTable::unitDecided(const TargetInstance &target, Instant heldUntil)
{
    if (TrackedTarget *found = find(target)) {
        found->awaitsUnit = false;
        found->heldUntil = heldUntil;
    }
}

std::optional<Instant> TargetTable::nextUnitTime(Instant now) const
{
    std::optional<Instant> next;
    for (const auto &[id, target] : m_targets) {
        if (target.heldUntil > now)
            next = std::min(next.value_or(target.heldUntil), target.heldUntil);
    }
    return next;
}

void TargetTable::assignAllSlots()
{
    for (const auto &[service, targets] : m_services)
        assignSlots(service);
}

void TargetTable::assignColdSlots()
{
    std::set<ServiceId> services;
    for (const auto &[id, target] : m_targets) {
        if (target.isCold)
            services.insert(target.entry.service);
    }
    for (const ServiceId &service : services)
        assignSlots(service);
}

void TargetTable::assignSlots(const ServiceId &service)
{
    ServiceTargets &targets = m_services[service];
    targets = {};
    std::vector<TrackedTarget *> accepting;
    std::vector<PartitionedTarget> slots;
    for (auto &[id, target] : m_targets) {
        if (target.entry.service != service)
            continue;
        targets.all.push_back(&target);
        target.cellSlots = 0;
        target.hasOwnShare = false;
        target.rejectionUnits.reset();
        targets.isBrittle |= target.rejectionsPerSecond.has_value();
        targets.evacuated += m_evacuated.contains(target.entry.dataCentre) ? 1 : 0;
        targets.cold += target.isCold ? 1 : 0;
        // A target that takes no requests gets no share, so that queued requests don't count on it.
        if (!acceptsRequests(target))
            continue;
        if (target.isCold)
            m_nextWarmTime = std::min(m_nextWarmTime.value_or(target.coldUntil), target.coldUntil);
        accepting.push_back(&target);
        // By the id alone, so that a target that restarts stays with its cell.
        slots.push_back({targetHash({id}), target.entry.slots});
    }
    const std::vector<std::uint32_t> parts = slotsOfCell(slots, m_cells);
    for (std::size_t index = 0; index < accepting.size(); ++index) {
        TrackedTarget &target = *accepting[index];
        target.sendsPerSecond = m_coldLimiter.sendsPerSecond(
            service, targetHash(target.entry.instance()), target.isCold);
        // The target stays in the sequence, so that the cells' other slots don't shift for seconds.
        const bool isSender
            = target.sendsPerSecond > 0 && target.sendsPerSecond != ColdTargetLimiter::Unlimited;
        target.cellSlots = isSender ? target.entry.slots : parts[index];
    }
    if (targets.isBrittle)
        assignShares(accepting);
    for (TrackedTarget *target : accepting) {
        if (target->sendsPerSecond == 0)
            target->cellSlots = 0;
        if (target->cellSlots > 0)
            targets.ofCell.push_back(target);
    }
    for (auto &[id, target] : m_targets) {
        if (target.entry.service == service)
            updateFreed(target, SlotChange::Assignment, {});
    }
}

const TargetTable::ServiceTargets &TargetTable::targetsOf(const ServiceId &service) const
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

void TargetTable::requestStarted(const TargetInstance &target, const RequestSize &size, Instant now)
{
    if (TrackedTarget *found = find(target)) {
        ++found->ownRequests;
        updateFreed(*found, SlotChange::OwnRequest, now);
        // Recorded for warm targets too, because requests sent just before a target turned cold
        // count.
        if (m_coldLimiter.isLimited(found->entry.service))
            found->recentSends.add(now);
        found->pendingPromptTokens += size.promptTokens;
    }
}

void TargetTable::firstEventReceived(const TargetInstance &target, const RequestSize &size,
                                     Duration took)
{
    if (TrackedTarget *found = find(target)) {
        found->pendingPromptTokens -= std::min(found->pendingPromptTokens, size.promptTokens);
        found->speed.addFirstEvent(size.promptTokens, took);
    }
}

void TargetTable::requestEnded(const TargetInstance &target, const RequestSize &size,
                               TargetOutcome outcome, Duration held, bool hadFirstEvent,
                               Instant now)
{
    TrackedTarget *found = find(target);
    if (!found)
        return;
    found->ownRequests -= std::min(found->ownRequests, 1U);
    updateFreed(*found, SlotChange::OwnRequest, now);
    if (!hadFirstEvent)
        found->pendingPromptTokens -= std::min(found->pendingPromptTokens, size.promptTokens);
    if (outcome == TargetOutcome::Cancelled)
        return;
    if (outcome == TargetOutcome::Full || outcome == TargetOutcome::Lost) {
        const Duration fullPause = found->hasOwnShare ? Duration(BrittlePause) : FullPause;
        pause(*found, outcome == TargetOutcome::Full ? fullPause : LossPause, now);
        return;
    }
    found->speed.addEnd(held, outcome != TargetOutcome::Served);
    if (outcome == TargetOutcome::Served)
        found->failuresInRow = 0;
    else
        recordFailure(*found, outcome, now);
}

void TargetTable::pause(TrackedTarget &target, Duration pause, Instant now)
{
    target.avoidedUntil = std::max(target.avoidedUntil, now + pause);
}

bool TargetTable::recordSilence(const TargetInstance &target, Instant now)
{
    TrackedTarget *found = find(target);
    if (!found || found->avoidedUntil > now)
        return false;
    pause(*found, LossPause, now);
    return true;
}

void TargetTable::recordUnreachable(const TargetInstance &target, unsigned failures, Instant now)
{
    TrackedTarget *found = find(target);
    for (unsigned failure = 0; found && failure < failures; ++failure) {
        found->speed.addEnd({}, true);
        recordFailure(*found, TargetOutcome::Unreachable, now);
    }
}

void TargetTable::recordReachable(const TargetInstance &target)
{
    if (TrackedTarget *found = find(target)) {
        found->avoidedUntil = {};
        found->failuresInRow = 0;
    }
}

void TargetTable::recordFailure(TrackedTarget &target, TargetOutcome outcome, Instant now)
{
    ++target.failuresInRow;
    if (!m_policies.avoidance)
        return;
    // An error may be the request's fault; a missing connection is the target's.
    const std::uint32_t tolerated = outcome == TargetOutcome::Unreachable ? 0 : ToleratedFailures;
    if (target.failuresInRow <= tolerated)
        return;
    constexpr std::uint32_t MaximumDoublings = 4;
    const std::uint32_t doublings
        = std::min(target.failuresInRow - tolerated - 1, MaximumDoublings);
    const auto avoidance = std::min(FirstAvoidance * (1U << doublings), LastAvoidance);
    pause(target, Duration(avoidance), now);
}

void TargetTable::setMemberLoad(std::uint64_t member, const std::vector<TargetLoad> &loads,
                                Instant now)
{
    const auto change = [this](const std::vector<TargetLoad> &of, bool add) {
        for (const TargetLoad &load : of) {
            const auto id = m_idsByHash.find(load.target);
            TrackedTarget *target = id == m_idsByHash.end() ? nullptr : find(id->second);
            if (!target)
                continue;
            target->requestsOfOthers = add
                ? target->requestsOfOthers + load.running
                : target->requestsOfOthers - std::min(target->requestsOfOthers, load.running);
            const std::uint64_t former = std::min(target->promptTokensOfOthers, load.unreadTokens);
            target->promptTokensOfOthers = add ? target->promptTokensOfOthers + load.unreadTokens
                                               : target->promptTokensOfOthers - former;
        }
    };
    const std::vector<TargetLoad> before = std::exchange(m_memberLoads[member], loads);
    change(before, false);
    change(loads, true);
    for (const std::vector<TargetLoad> *of : {&before, &loads}) {
        for (const TargetLoad &load : *of) {
            if (TrackedTarget *target = findByHash(load.target))
                updateFreed(*target, SlotChange::MemberReport, now);
        }
    }
    if (loads.empty())
        m_memberLoads.erase(member);
}

std::vector<TargetLoad> TargetTable::ownLoad() const
{
    std::vector<TargetLoad> loads;
    for (const auto &[id, target] : m_targets) {
        if (target.ownRequests == 0)
            continue;
        const bool limitsPauses = gapObjective(target.entry.service) > Duration::zero();
        loads.push_back({targetHash(target.entry.instance()), target.ownRequests,
                         limitsPauses ? target.pendingPromptTokens : 0});
    }
    return loads;
}

TargetTable::AverageSpeed TargetTable::averageSpeed(const ServiceId &service) const
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
        double meanOr(double defaultValue) const
        {
            return count > 0 ? total / count : defaultValue;
        }
    };
    Sum firstEvent;
    Sum gap;
    Sum hold;
    for (const TrackedTarget *target : targetsOf(service).all) {
        firstEvent.add(target->speed.firstEvent.value());
        gap.add(target->speed.eventGap.value());
        hold.add(target->speed.hold.value());
    }
    return {firstEvent.meanOr(DefaultFirstEvent), gap.meanOr(DefaultGap),
            hold.meanOr(DefaultHoldTime)};
}

TargetTable::Forecast TargetTable::forecast(const TrackedTarget &target, const RequestSize &size,
                                            const AverageSpeed &average) const
{
    const double slowdown = 1 + SlowdownPerRequest * target.usedFraction() * target.entry.slots;
    if (!size.isStream) {
        const double whole = target.speed.hold.value().value_or(average.hold) * slowdown;
        return {whole, whole};
    }
    const double pendingTokens
        = static_cast<double>(size.promptTokens + target.pendingPromptTokens);
    const double first = target.speed.firstEvent.value().value_or(average.firstEvent)
        * (pendingTokens + FixedWorkTokens);
    const double gap = target.speed.eventGap.value().value_or(average.eventGap);
    return {first, first + gap * static_cast<double>(size.events)};
}

Duration TargetTable::gapObjective(const ServiceId &service) const
{
    const auto found = m_gapObjectives.find(service);
    return m_policies.stallLimit && found != m_gapObjectives.end() ? found->second
                                                                   : Duration::zero();
}

PromptBacklog TargetTable::backlogOf(const TrackedTarget &target, const AverageSpeed &average)
{
    return {.millisecondsPerToken = target.speed.firstEvent.value().value_or(average.firstEvent),
            .eventGap = target.speed.eventGap.value().value_or(average.eventGap),
            .unreadTokens = target.pendingPromptTokens + target.promptTokensOfOthers};
}

std::optional<double> TargetTable::expectedPause(const TrackedTarget &target) const
{
    const ServiceId &service = target.entry.service;
    if (gapObjective(service) <= Duration::zero())
        return std::nullopt;
    return StallForecast(gapObjective(service), 0).pause(backlogOf(target, averageSpeed(service)));
}

double TargetTable::cost(const TrackedTarget &target, const Forecast &forecast) const
{
    const double used = target.usedFraction();
    if (!m_policies.forecast)
        return used;
    // Slots of a fast target are kept for long requests that slow targets can't complete in time.
    const double scarcity = m_policies.scarcity ? 1 + ScarcityWeight * used * used : 1;
    const double failure = FailureCost * target.speed.failures.value().value_or(0);
    const double distance = target.entry.dataCentre == m_ownDataCentre ? 0 : DistanceCost;
    return forecast.whole * scarcity + failure + distance;
}

const TrackedTarget *TargetTable::choose(const TargetRequirements &requirements, Instant now) const
{
    const ServiceTargets &targets = targetsOf(requirements.service);
    const Choice ofCell = chooseAmong(targets.ofCell, requirements, false, now);
    if (ofCell.someIsHealthy || targets.isBrittle || targets.ofCell.size() == targets.all.size())
        return ofCell.target;
    // The cell's own targets are all gone, failing or already tried.
    const Choice ofOthers = chooseAmong(targets.all, requirements, true, now);
    return ofOthers.target ? ofOthers.target : ofCell.target;
}

TargetTable::Choice TargetTable::chooseAmong(const std::vector<const TrackedTarget *> &candidates,
                                             const TargetRequirements &requirements,
                                             bool ofOtherCells, Instant now) const
{
    struct Rank
    {
        bool isAvoided = true;
        bool missesDeadline = true;
        bool stallsOthers = true;
        bool missesFirstEvent = true;
        double cost = 0;
        auto operator<=>(const Rank &) const = default;
    };
    const AverageSpeed average = averageSpeed(requirements.service);
    const double timeToFirstEvent = milliseconds(requirements.timeToFirstEvent) * FirstEventMargin;
    const double timeToEnd = milliseconds(requirements.timeToEnd) * EndMargin;
    StallForecast stall(requirements.size.isStream ? gapObjective(requirements.service)
                                                   : Duration::zero(),
                        requirements.size.promptTokens);
    for (const TrackedTarget *target : candidates) {
        if (acceptsRequests(*target) && target->avoidedUntil <= now)
            stall.addCandidate(backlogOf(*target, average));
    }
    const TrackedTarget *best = nullptr;
    Rank bestRank;
    bool fullTargetMeetsDeadline = false;
    bool fullTargetStallsNone = false;
    bool fullTargetIsHealthy = false;
    for (const TrackedTarget *target : candidates) {
        if (!acceptsRequests(*target) || !requirements.constraint.allows(target->entry))
            continue;
        if (target->sendsPerSecond == 0 || target->heldUntil > now)
            continue;
        const Forecast expected = forecast(*target, requirements.size, average);
        const bool stallsOthers
            = target->load() > 0 && stall.isExceeded(backlogOf(*target, average));
        const Rank rank {target->avoidedUntil > now, expected.whole > timeToEnd, stallsOthers,
                         expected.first > timeToFirstEvent, cost(*target, expected)};
        const bool isForeign = ofOtherCells && target->cellSlots == 0;
        const bool hasFreeSlot = isForeign
            ? !target->awaitsUnit && target->load() < SlotsAtOtherCells
            : hasOpenSlot(*target, requirements.contenders, now);
        if (!hasFreeSlot) {
            fullTargetIsHealthy |= !rank.isAvoided;
            fullTargetMeetsDeadline |= !rank.isAvoided && !rank.missesDeadline;
            fullTargetStallsNone |= !rank.isAvoided && !rank.missesDeadline && !rank.stallsOthers;
        } else if (!best || rank < bestRank) {
            best = target;
            bestRank = rank;
        }
    }
    const bool someIsHealthy = fullTargetIsHealthy || (best && !bestRank.isAvoided);
    // If a request can't be completed in time, the work done for it is lost, including its prompt.
    if (best && bestRank.missesDeadline && fullTargetMeetsDeadline)
        return {nullptr, someIsHealthy};
    // One prompt would make every stream late that runs at the target.
    if (best && bestRank.stallsOthers && fullTargetStallsNone)
        return {nullptr, someIsHealthy};
    // A target that fails every request always has free slots.
    if (best && bestRank.isAvoided && fullTargetIsHealthy)
        return {nullptr, someIsHealthy};
    return {best, someIsHealthy};
}

bool TargetTable::hasAlternative(const ServiceId &service, const TargetConstraint &constraint) const
{
    return std::ranges::any_of(targetsOf(service).all, [&, this](const TrackedTarget *target) {
        return acceptsRequests(*target) && constraint.allows(target->entry);
    });
}

bool TargetTable::isEvacuated(const ServiceId &service) const
{
    bool someEvacuated = false;
    for (const TrackedTarget *target : targetsOf(service).all) {
        if (acceptsRequests(*target))
            return false;
        someEvacuated |= !target->entry.isDraining;
    }
    return someEvacuated;
}

bool TargetTable::hasCapacity(const ServiceId &service,
                              const std::vector<std::uint64_t> &contenders, Instant now) const
{
    const ServiceTargets &targets = targetsOf(service);
    const auto isHealthy = [now](const auto *target) {
        return target->avoidedUntil <= now && target->heldUntil <= now;
    };
    const bool usesOtherCells = !targets.isBrittle && targets.ofCell.size() < targets.all.size()
        && std::ranges::none_of(targets.ofCell, isHealthy);
    return usesOtherCells || std::ranges::any_of(targets.ofCell, [&, this](const auto *target) {
               return hasOpenSlot(*target, contenders, now);
           });
}

ServiceCapacity TargetTable::capacity(const ServiceId &service, Instant now) const
{
    ServiceCapacity capacity;
    capacity.meanHoldTime = averageSpeed(service).hold;
    for (const TrackedTarget *target : targetsOf(service).ofCell) {
        if (target->avoidedUntil > now)
            continue;
        const std::uint32_t usable = usableSlots(*target, capacity.meanHoldTime);
        capacity.slots += usable;
        capacity.free += std::min(usable, freeSlots(*target, now));
        capacity.limited += target->limitPerSecond ? 1 : 0;
    }
    capacity.evacuated = targetsOf(service).evacuated;
    capacity.cold = targetsOf(service).cold;
    return capacity;
}

TargetCounts TargetTable::counts(const ServiceId &service, Instant now) const
{
    TargetCounts counts;
    for (const TrackedTarget *target : targetsOf(service).ofCell) {
        ++counts.all;
        counts.usable += target->avoidedUntil > now ? 0 : 1;
    }
    return counts;
}

Duration TargetTable::expectedDuration(const ServiceId &service, const RequestSize &size) const
{
    const std::chrono::duration<double, std::milli> events(averageSpeed(service).eventGap
                                                           * static_cast<double>(size.events));
    return expectedTimeToFirstEvent(service, size) + std::chrono::duration_cast<Duration>(events);
}

Duration TargetTable::expectedTimeToFirstEvent(const ServiceId &service,
                                               const RequestSize &size) const
{
    const AverageSpeed average = averageSpeed(service);
    const double expected = size.isStream
        ? average.firstEvent * (static_cast<double>(size.promptTokens) + FixedWorkTokens)
        : average.hold;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(expected));
}

} // namespace Apricothook
