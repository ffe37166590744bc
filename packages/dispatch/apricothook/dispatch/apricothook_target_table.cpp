#include <apricothook/dispatch/apricothook_target_table.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>

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

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

std::uint64_t targetNumber(const TargetId &target)
{
    return hashOf(target.text());
}

void TargetTable::put(const TargetEntry &entry)
{
    m_targets[entry.id].entry = entry;
    m_numbers[targetNumber(entry.id)] = entry.id;
    BelievedTarget &target = m_targets[entry.id];
    target.requestsOfOthers = 0;
    for (const auto &[member, loads] : m_loadsOfMembers) {
        for (const TargetLoad &load : loads) {
            if (load.target == targetNumber(entry.id))
                target.requestsOfOthers += load.running;
        }
    }
}

void TargetTable::remove(const TargetId &target)
{
    m_targets.erase(target);
    m_numbers.erase(targetNumber(target));
}

const BelievedTarget *TargetTable::find(const TargetId &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second;
}

BelievedTarget *TargetTable::find(const TargetId &target)
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second;
}

std::vector<const BelievedTarget *> TargetTable::ofService(const ServiceId &service) const
{
    std::vector<const BelievedTarget *> targets;
    for (const auto &[id, target] : m_targets) {
        if (target.entry.service == service)
            targets.push_back(&target);
    }
    return targets;
}

void TargetTable::started(const TargetId &target, const WorkSize &work)
{
    if (BelievedTarget *found = find(target)) {
        ++found->ownRequests;
        found->unreadTokens += work.promptTokens;
    }
}

void TargetTable::firstEvent(const TargetId &target, const WorkSize &work, Duration took)
{
    if (BelievedTarget *found = find(target)) {
        found->unreadTokens -= std::min(found->unreadTokens, work.promptTokens);
        found->speed.addFirstEvent(work.promptTokens, took);
    }
}

void TargetTable::ended(const TargetId &target, const WorkSize &work, TargetOutcome outcome,
                        Duration held, bool hadFirstEvent, Instant now)
{
    BelievedTarget *found = find(target);
    if (!found)
        return;
    found->ownRequests -= std::min(found->ownRequests, 1U);
    if (!hadFirstEvent)
        found->unreadTokens -= std::min(found->unreadTokens, work.promptTokens);
    if (outcome == TargetOutcome::Withdrawn)
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

void TargetTable::punish(BelievedTarget &target, TargetOutcome outcome, Instant now)
{
    ++target.failuresInRow;
    // An error may be the request's fault; a missing connection is the target's.
    const std::uint32_t byChance = outcome == TargetOutcome::Unreachable ? 0 : FailuresByChance;
    if (target.failuresInRow <= byChance)
        return;
    constexpr std::uint32_t MostDoublings = 4;
    const std::uint32_t doublings = std::min(target.failuresInRow - byChance - 1, MostDoublings);
    const auto pause = std::min(FirstAvoidance * (1U << doublings), LastAvoidance);
    target.avoidedUntil = std::max(target.avoidedUntil, now + Duration(pause));
}

void TargetTable::setLoadOfMember(std::uint64_t member, const std::vector<TargetLoad> &loads)
{
    const auto change = [this](const std::vector<TargetLoad> &of, bool add) {
        for (const TargetLoad &load : of) {
            const auto number = m_numbers.find(load.target);
            BelievedTarget *target = number == m_numbers.end() ? nullptr : find(number->second);
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
            loads.push_back({targetNumber(id), target.ownRequests});
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
    for (const BelievedTarget *target : ofService(service)) {
        firstEvent.add(target->speed.firstEvent.value());
        gap.add(target->speed.eventGap.value());
        hold.add(target->speed.hold.value());
    }
    return {firstEvent.meanOr(DefaultFirstEvent), gap.meanOr(DefaultGap), hold.meanOr(DefaultHold)};
}

TargetTable::Forecast TargetTable::forecast(const BelievedTarget &target, const WorkSize &work,
                                            const UsualSpeed &usual) const
{
    const double slowdown = 1 + SlowdownOfEach * target.load();
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

double TargetTable::cost(const BelievedTarget &target, const Forecast &forecast) const
{
    const double slots = std::max<double>(target.entry.slots, 1);
    const double used = target.load() / slots;
    // A slot of a fast target is worth keeping for long work that slow ones can't end in time.
    const double scarcity = 1 + ScarcityWeight * used * used;
    const double failure = FailureCost * target.speed.failures.value().value_or(0);
    const double distance = target.entry.dataCentre == m_own ? 0 : DistanceCost;
    return forecast.whole * scarcity + failure + distance;
}

const BelievedTarget *TargetTable::choose(const TargetWish &wish, Instant now) const
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
    const BelievedTarget *best = nullptr;
    Rank bestRank;
    bool fullOneWouldEnd = false;
    bool fullOneIsSound = false;
    for (const BelievedTarget *target : ofService(wish.service)) {
        if (target->entry.isDraining || wish.excluded.contains(target->entry.id))
            continue;
        const Forecast expected = forecast(*target, wish.size, usual);
        const Rank rank {target->avoidedUntil > now, expected.whole > untilEnd,
                         expected.first > untilFirst, cost(*target, expected)};
        if (!target->hasRoom()) {
            fullOneIsSound |= !rank.isAvoided;
            fullOneWouldEnd |= !rank.isAvoided && !rank.missesEnd;
        } else if (!best || rank < bestRank) {
            best = target;
            bestRank = rank;
        }
    }
    // Work that its target can't end is thrown away with all that was read for it.
    if (best && bestRank.missesEnd && fullOneWouldEnd)
        return nullptr;
    // A target that fails everything always has room.
    if (best && bestRank.isAvoided && fullOneIsSound)
        return nullptr;
    return best;
}

bool TargetTable::hasOther(const ServiceId &service, const std::set<TargetId> &excluded) const
{
    return std::ranges::any_of(ofService(service), [&excluded](const BelievedTarget *target) {
        return !target->entry.isDraining && !excluded.contains(target->entry.id);
    });
}

bool TargetTable::hasRoom(const ServiceId &service) const
{
    return std::ranges::any_of(ofService(service), [](const BelievedTarget *target) {
        return !target->entry.isDraining && target->hasRoom();
    });
}

ServiceRoom TargetTable::room(const ServiceId &service, Instant now) const
{
    ServiceRoom room;
    for (const BelievedTarget *target : ofService(service)) {
        if (target->entry.isDraining || target->avoidedUntil > now)
            continue;
        room.slots += target->entry.slots;
        room.free += target->entry.slots - std::min(target->entry.slots, target->load());
    }
    room.meanHold = usualSpeed(service).hold;
    return room;
}

Duration TargetTable::expectedFirstEvent(const ServiceId &service, const WorkSize &work) const
{
    const UsualSpeed usual = usualSpeed(service);
    const double expected = work.isStream
        ? usual.firstEvent * (static_cast<double>(work.promptTokens) + FixedWorkTokens)
        : usual.hold;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(expected));
}

} // namespace Apricothook
