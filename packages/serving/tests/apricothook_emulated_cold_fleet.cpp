#include "apricothook_emulated_cold_fleet.hpp"

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

using Time = EmulatedColdFleet::Time;

constexpr Time ServiceTime {30};
constexpr Time TickPause {200};
constexpr Time EntryInterval {1200};
/** Longest time until a published change reaches a daemon that isn't cut off. */
constexpr Time LongestPeerDelay {1500};
/** The same for a daemon that reads at the source itself. */
constexpr Time LongestSourceDelay {300};
const ServiceId Service("s");

FleetBounds bounds()
{
    FleetBounds bounds;
    bounds.coldOvershoot = EmulatedColdFleet::ColdOvershoot;
    bounds.coldSlack = EmulatedColdFleet::ColdSlack;
    return bounds;
}

ServiceRule rule()
{
    ServiceRule rule;
    rule.name = Service;
    rule.coldTime = EmulatedColdFleet::ColdTime;
    rule.coldPerSecond = EmulatedColdFleet::ColdPerSecond;
    return rule;
}

} // namespace

EmulatedColdDaemon::EmulatedColdDaemon(EmulatedColdFleet &fleet, std::uint16_t number,
                                       EventLoop &loop, std::uint64_t startedAt)
    : EmulatedDaemon(fleet, number, startedAt)
    , targets(DataCentreId("dc-0"), {},
              ColdTargetLimiter(memberHash(EmulatedFleet::memberOf(number)), bounds()))
    , m_fleet(fleet)
    , m_loop(loop)
    , m_directory(EmulatedFleet::memberOf(number))
    , m_coldViewTracker(m_directory, fleet.seeds(), EmulatedFleet::addressOf(number), EntryInterval)
    , m_exchange(loop, m_directory, *this, fleet.random, fleet.seeds())
    , m_dispatcher(targets, *this)
{
    targets.setColdTargetSenders({});
    targets.setServices({rule()}, loop.now());
    m_exchange.start();
    tick();
}

void EmulatedColdDaemon::step(unsigned requests)
{
    m_loop.runOnce(Time(0));
    const Instant now = m_loop.now();
    if (now - m_lastTick >= TickPause)
        tick();
    for (std::size_t next = 0; next < m_running.size();) {
        if (m_running[next].ends > now) {
            ++next;
            continue;
        }
        targets.requestEnded(m_running[next].target, {1, 1, false}, TargetOutcome::Served,
                             ServiceTime, true, now);
        m_running[next] = m_running.back();
        m_running.pop_back();
    }
    m_dispatcher.review(now);
    for (unsigned request = 0; request < requests; ++request) {
        m_dispatcher.submit({.exchange = ExchangeId(++m_lastRequest),
                             .service = Service,
                             .rank = {Tier(1), Tier(1)},
                             .size = {1, 1, false},
                             .arrived = now,
                             .objective = Time(200),
                             .deadline = now + Time(1000),
                             .constraint = {}},
                            now);
    }
}

void EmulatedColdDaemon::tick()
{
    const Instant now = m_loop.now();
    m_lastTick = now;
    m_directory.review(now);
    targets.review(now);
    targets.setCells(m_directory.weights(now));
    const bool isCut = m_fleet.isCutOff(number());
    targets.setColdTargetSenders(m_coldViewTracker.review({!isCut && isStarting(), !isCut}, now));
    for (const KnownMember *member : m_directory.membersOfCell(m_directory.ownCell()))
        send(member->info.peerAddress, MemberGossip {ownInfo(), false, false, {}});
    m_exchange.sendSummaries();
}

void EmulatedColdDaemon::take(const PeerDatagram &datagram)
{
    if (const auto *gossip = std::get_if<MemberGossip>(&datagram))
        m_exchange.take(*gossip);
    else
        m_exchange.take(std::get<CellSummary>(datagram));
}

void EmulatedColdDaemon::onPlaced(ExchangeId, const TargetEntry &target, const SlotFill &)
{
    m_running.push_back({target.instance(), m_loop.now() + ServiceTime});
    m_fleet.recordRequest(target);
}

EmulatedColdFleet::EmulatedColdFleet(std::size_t daemons, std::size_t targets, std::uint64_t seed)
    : EmulatedFleet(daemons, seed), m_targets(targets), m_appliedChanges(daemons)
{
    for (std::size_t index = 0; index < targets; ++index) {
        TargetEntry &entry = m_targets[index].entry;
        entry.id = TargetId("t" + std::to_string(index) + "-0");
        entry.service = Service;
        entry.address = {"10.1.0.1", static_cast<std::uint16_t>(index + 1)};
        entry.dataCentre = dataCentreOf(index);
        entry.slots = 4;
        m_targets[index].lastWrite = Time(random.next() % EntryInterval.count());
        publish(entry);
    }
    startAll();
}

DataCentreId EmulatedColdFleet::dataCentreOf(std::size_t target) const
{
    return DataCentreId("dc-" + std::to_string(target % DataCentres));
}

double EmulatedColdFleet::worstRatio() const
{
    return static_cast<double>(m_worst) / (ColdPerSecond * ColdOvershoot + ColdSlack);
}

std::unique_ptr<EmulatedDaemon> EmulatedColdFleet::start(std::uint16_t number, EventLoop &loop)
{
    auto process = std::make_unique<EmulatedColdDaemon>(
        *this, number, loop, static_cast<std::uint64_t>(now().count()) + 1);
    // The daemon reads all published items before it serves.
    for (const DataCentreId &dataCentre : m_publishedEvacuations)
        apply(*process, EvacuationState {dataCentre, true}, loop.now());
    for (const auto &[id, entry] : m_publishedTargets)
        apply(*process, entry, loop.now());
    m_appliedChanges[number] = m_changes.size();
    return process;
}

void EmulatedColdFleet::beforeDaemonStep(std::size_t number)
{
    if (isCutOff(number))
        return;
    auto &process = static_cast<EmulatedColdDaemon &>(daemon(number));
    while (m_appliedChanges[number] < m_changes.size()) {
        const Change &change = m_changes[m_appliedChanges[number]];
        const Time latest = process.isStarting() ? LongestSourceDelay : LongestPeerDelay;
        const bool isDelivered = change.at + latest <= now() || random.next() % 50 == 0;
        if (!isDelivered)
            return;
        apply(process, change.published, timeAt(number));
        ++m_appliedChanges[number];
    }
}

void EmulatedColdFleet::apply(EmulatedColdDaemon &process, const PublishedChange &change,
                              Instant now)
{
    if (const auto *entry = std::get_if<TargetEntry>(&change))
        process.targets.put(*entry, now);
    else if (const auto *removed = std::get_if<TargetId>(&change))
        process.targets.remove(*removed);
    else if (const auto *evacuated = std::get_if<EvacuationState>(&change))
        process.targets.setEvacuated(evacuated->dataCentre, evacuated->isEvacuated, now);
}

void EmulatedColdFleet::publish(const PublishedChange &change)
{
    m_changes.push_back({now(), change});
    if (const auto *entry = std::get_if<TargetEntry>(&change))
        m_publishedTargets[entry->id] = *entry;
    else if (const auto *removed = std::get_if<TargetId>(&change))
        m_publishedTargets.erase(*removed);
    else if (const auto *evacuated = std::get_if<EvacuationState>(&change); evacuated->isEvacuated)
        m_publishedEvacuations.insert(evacuated->dataCentre);
    else
        m_publishedEvacuations.erase(evacuated->dataCentre);
}

void EmulatedColdFleet::publishEntries()
{
    for (Target &target : m_targets) {
        if (target.upAt > now() || now() - target.lastWrite < EntryInterval)
            continue;
        target.lastWrite = now();
        const Duration remainingColdTime
            = std::max<Duration>(target.coldUntil - now(), Duration::zero());
        if (remainingColdTime != std::exchange(target.entry.remainingColdTime, remainingColdTime))
            publish(target.entry);
    }
    for (const Evacuation &ended : m_evacuations) {
        if (ended.ends > now())
            continue;
        for (std::size_t index = ended.dataCentre; index < m_targets.size(); index += DataCentres)
            m_targets[index].coldUntil = now() + ColdTime;
        publish(EvacuationState {dataCentreOf(ended.dataCentre), false});
    }
    std::erase_if(m_evacuations, [this](const auto &one) { return one.ends <= now(); });
}

void EmulatedColdFleet::recordRequest(const TargetEntry &entry)
{
    Target &target = m_targets[entry.address.port - 1U];
    // A request to an earlier instance of the target is refused and not counted.
    if (target.upAt > now() || target.entry.id != entry.id)
        return;
    ++m_served;
    if (target.coldUntil <= now())
        return;
    while (!target.requests.empty() && now() - target.requests.front() >= Time(1000))
        target.requests.pop_front();
    target.requests.push_back(now());
    m_worst = std::max(m_worst, target.requests.size());
}

void EmulatedColdFleet::crash(std::size_t target, Time downFor)
{
    Target &crashed = m_targets[target];
    if (crashed.upAt > now())
        return;
    publish(crashed.entry.id);
    crashed.upAt = now() + downFor;
    crashed.coldUntil = crashed.upAt + ColdTime;
    crashed.lastWrite = crashed.upAt - EntryInterval;
    const std::string text = crashed.entry.id.text();
    const auto starts = std::stoul(text.substr(text.find('-') + 1));
    crashed.entry.id = TargetId("t" + std::to_string(target) + "-" + std::to_string(starts + 1));
    crashed.requests.clear();
}

void EmulatedColdFleet::crashDataCentre(std::size_t dataCentre, Time downFor)
{
    for (std::size_t index = dataCentre; index < m_targets.size(); index += DataCentres)
        crash(index, downFor);
}

void EmulatedColdFleet::evacuate(std::size_t dataCentre, Time time)
{
    if (m_publishedEvacuations.contains(dataCentreOf(dataCentre)))
        return;
    publish(EvacuationState {dataCentreOf(dataCentre), true});
    m_evacuations.push_back({dataCentre, now() + time});
}

} // namespace Apricothook
