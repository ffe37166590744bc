#include <apricothook/serving/apricothook_published_state.hpp>

#include <apricothook/fleetview/apricothook_fleetview_event.hpp>

namespace Apricothook {

PublishedState::PublishedState(EventLoop &loop, Gateway &gateway, const ItemDecoder &decoder,
                               LogWriter &log)
    : m_loop(loop)
    , m_gateway(gateway)
    , m_decoder(decoder)
    , m_log(log)
    , m_replica([this](const ItemChange &change) { return onChange(change); })
{
}

PublishedState::~PublishedState()
{
    for (auto &[target, timer] : m_held)
        m_loop.cancel(timer);
}

void PublishedState::apply(const ItemUpdate &update)
{
    m_replica.apply(update);
}

void PublishedState::setSourceState(SourceState state)
{
    const bool isBack = state == SourceState::Reachable;
    m_log.write(LogEvent(isBack ? FleetviewEvent::SourceRegained : FleetviewEvent::SourceLost)
                    .with("state",
                          std::string(isBack                               ? "reachable"
                                          : state == SourceState::Refusing ? "refusing"
                                                                           : "unreachable"))
                    .with("revision", m_replica.revision()));
    m_sourceState = state;
}

bool PublishedState::onChange(const ItemChange &change)
{
    switch (m_decoder.kindOf(change.key)) {
    case ItemKind::Configuration:
        if (change.value)
            takeConfiguration(change);
        return true;
    case ItemKind::Target:
        if (change.value)
            return takeTarget(change);
        removeTarget(m_decoder.targetOfKey(change.key), change.revision);
        return true;
    case ItemKind::Evacuation:
        takeEvacuation(change);
        return true;
    case ItemKind::Other:
        break;
    }
    return true;
}

void PublishedState::takeConfiguration(const ItemChange &change)
{
    Result<ServingConfiguration, ItemFault> read = m_decoder.configuration(*change.value);
    if (!read) {
        reject(change, read.error());
        return;
    }
    const Generation generation = read.value().generation;
    if (m_generation && generation <= *m_generation)
        return;
    m_generation = generation;
    m_log.write(LogEvent(FleetviewEvent::ConfigurationTaken)
                    .with("generation", generation.value())
                    .with("revision", change.revision)
                    .with("routes", read.value().routes.size())
                    .with("customers", read.value().customers.size()));
    m_gateway.setConfiguration(std::make_shared<const RouteTable>(std::move(read).value()));
}

bool PublishedState::takeTarget(const ItemChange &change)
{
    const Result<TargetEntry, ItemFault> read = m_decoder.target(change.key, *change.value);
    if (!read) {
        rejectTarget(change, read.error());
        return true;
    }
    const TargetEntry &target = read.value();
    TrackedTarget *known = m_gateway.targets().find(target.id);
    // Targets that tell their start always do; taken for a new one, this entry would end all that
    // runs there.
    if (known && known->entry.startedAt != 0 && target.startedAt == 0) {
        rejectTarget(change, {"start"});
        return true;
    }
    // A write that was held up takes effect with a later revision than the target's newer word.
    // Taken for the present one, requests went on to a target that was about to end; its sequence
    // tells.
    if (isOlderThanLeaving(target)) {
        m_log.write(LogEvent(FleetviewEvent::OldEntryIgnored)
                        .with("target", target.id.text())
                        .with("sequence", target.sequence)
                        .with("leaving_sequence", m_leaving.at(target.instance()).sequence)
                        .with("revision", change.revision));
        return true;
    }
    noteLeaving(target);
    releaseHeld(target.id);
    if (known && isBeat(known->entry, target)) {
        known->entry = target;
        return false;
    }
    m_log.write(LogEvent(FleetviewEvent::TargetChanged)
                    .with("target", target.id.text())
                    .with("service", target.service.text())
                    .with("address", target.address.text())
                    .with("state", std::string(target.isDraining ? "draining" : "ready"))
                    .with("started_at", target.startedAt)
                    .with("cold_ms", target.remainingColdTime)
                    .with("sequence", target.sequence)
                    .with("revision", change.revision));
    m_gateway.putTarget(target);
    return true;
}

bool PublishedState::isBeat(const TargetEntry &before, TargetEntry now)
{
    if (now.remainingColdTime > before.remainingColdTime)
        return false;
    now.sequence = before.sequence;
    now.remainingColdTime = before.remainingColdTime;
    return now == before;
}

void PublishedState::takeEvacuation(const ItemChange &change)
{
    const DataCentreId dataCentre = m_decoder.dataCentreOfKey(change.key);
    // Its being there counts, whatever it holds.
    const bool isEvacuated = change.value.has_value();
    m_log.write(LogEvent(FleetviewEvent::EvacuationChanged)
                    .with("data_centre", dataCentre.text())
                    .with("state", std::string(isEvacuated ? "evacuated" : "taken back"))
                    .with("targets", m_gateway.targets().countIn(dataCentre))
                    .with("revision", change.revision));
    m_gateway.setEvacuated(dataCentre, isEvacuated);
}

bool PublishedState::isOlderThanLeaving(const TargetEntry &target) const
{
    const auto leaving = m_leaving.find(target.instance());
    return leaving != m_leaving.end() && target.sequence < leaving->second.sequence;
}

void PublishedState::noteLeaving(const TargetEntry &target)
{
    const Instant now = m_loop.now();
    std::erase_if(m_leaving,
                  [now](const auto &entry) { return now - entry.second.heard > LeavingMemory; });
    if (target.isDraining)
        m_leaving[target.instance()] = {target.sequence, now};
    else
        m_leaving.erase(target.instance());
}

void PublishedState::removeTarget(const TargetId &target, Revision revision)
{
    const Instant now = m_loop.now();
    const TrackedTarget *known = m_gateway.targets().find(target);
    // A target that had announced its leaving has left.
    const bool hold = known && !known->entry.isDraining && m_outage.mayHaveExpired(now);
    m_log.write(LogEvent(hold ? FleetviewEvent::RemovalHeld : FleetviewEvent::TargetChanged)
                    .with("target", target.text())
                    .with("state", std::string("removed"))
                    .with("revision", revision));
    if (!hold) {
        m_gateway.removeTarget(target);
        return;
    }
    m_held[target] = m_loop.after(m_outage.removalsUncertainUntil(now) - now, [this, target] {
        m_held.erase(target);
        m_gateway.removeTarget(target);
    });
}

void PublishedState::rejectTarget(const ItemChange &change, const ItemFault &fault)
{
    reject(change, fault);
    const TargetId target = m_decoder.targetOfKey(change.key);
    releaseHeld(target);
    if (!m_gateway.targets().find(target))
        return;
    // Nobody vouches for the address any more: another target may have it by now.
    m_log.write(LogEvent(FleetviewEvent::TargetChanged)
                    .with("target", target.text())
                    .with("state", std::string("unreadable"))
                    .with("revision", change.revision));
    m_gateway.removeTarget(target);
}

void PublishedState::releaseHeld(const TargetId &target)
{
    const auto held = m_held.find(target);
    if (held == m_held.end())
        return;
    m_loop.cancel(held->second);
    m_held.erase(held);
}

void PublishedState::reject(const ItemChange &change, const ItemFault &fault)
{
    m_log.write(LogEvent(FleetviewEvent::ItemRejected)
                    .with("key", change.key)
                    .with("field", fault.field)
                    .with("revision", change.revision));
}

} // namespace Apricothook
