#include <apricothook/serving/apricothook_published_state.hpp>

#include <apricothook/fleetview/apricothook_fleetview_event.hpp>

namespace Apricothook {

PublishedState::PublishedState(EventLoop &loop, Gateway &gateway, const ItemDecoder &decoder,
                               LogWriter &log, Duration entryInterval)
    : m_loop(loop)
    , m_gateway(gateway)
    , m_decoder(decoder)
    , m_log(log)
    , m_replica([this](const ItemChange &change) { return onChange(change); })
    , m_instances(entryInterval)
{
}

PublishedState::~PublishedState()
{
    for (auto &[target, timer] : m_delayedRemovals)
        m_loop.cancel(timer);
}

void PublishedState::apply(const ItemUpdate &update)
{
    m_replica.apply(update);
}

void PublishedState::setSourceState(SourceState state, const TransferRecord &record)
{
    const bool isBack = state == SourceState::Reachable;
    m_log.write(LogEvent(isBack ? FleetviewEvent::SourceRegained : FleetviewEvent::SourceLost)
                    .with("state",
                          std::string(isBack                               ? "reachable"
                                          : state == SourceState::Refusing ? "refusing"
                                                                           : "unreachable"))
                    .with("revision", m_replica.revision())
                    .with("cause", std::string(nameOf(record.end)))
                    .with("bytes", record.bytes)
                    .with("took_ms", record.took));
    m_sourceState = state;
}

bool PublishedState::onChange(const ItemChange &change)
{
    switch (m_decoder.kindOf(change.key)) {
    case ItemKind::Configuration:
        if (change.value)
            applyConfiguration(change);
        return true;
    case ItemKind::Target:
        if (change.value)
            return applyTarget(change);
        removeTarget(m_decoder.targetOfKey(change.key), change.revision);
        return true;
    case ItemKind::Evacuation:
        applyEvacuation(change);
        return true;
    case ItemKind::Other:
        break;
    }
    return true;
}

void PublishedState::applyConfiguration(const ItemChange &change)
{
    Result<ServingConfiguration, ItemError> read = m_decoder.configuration(*change.value);
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

bool PublishedState::applyTarget(const ItemChange &change)
{
    const Result<TargetEntry, ItemError> read = m_decoder.target(change.key, *change.value);
    if (!read) {
        rejectTarget(change, read.error());
        return true;
    }
    const TargetEntry &target = read.value();
    TrackedTarget *known = m_gateway.targets().find(target.id);
    const std::uint64_t latestStart
        = m_instances.latestStart(target.id, known ? &known->entry : nullptr);
    // A target that states its start time always does. This entry would look like a restart and
    // end all requests that run at the target.
    if (latestStart != 0 && target.startedAt == 0) {
        rejectTarget(change, {"start"});
        return true;
    }
    if (target.startedAt < latestStart)
        return holdFormerInstance(target, latestStart, change.revision);
    // Peers that hold the entry of a former instance need the renewal that overwrites it.
    const bool wasContested = m_instances.discard(target.id);
    // A delayed write takes effect with a later revision than a newer write of the target. If the
    // revision decided, requests would go to a target that is about to end, so the sequence
    // number decides.
    if (isOlderThanDraining(target)) {
        m_log.write(LogEvent(FleetviewEvent::OldEntryIgnored)
                        .with("target", target.id.text())
                        .with("sequence", target.sequence)
                        .with("leaving_sequence", m_drainRecords.at(target.instance()).sequence)
                        .with("revision", change.revision));
        return true;
    }
    if (known && isRenewal(known->entry, target)) {
        recordDraining(target);
        cancelDelayedRemoval(target.id);
        known->entry = target;
        return wasContested;
    }
    putTarget(target, change.revision);
    return true;
}

void PublishedState::putTarget(const TargetEntry &target, Revision revision)
{
    recordDraining(target);
    cancelDelayedRemoval(target.id);
    m_log.write(LogEvent(FleetviewEvent::TargetChanged)
                    .with("target", target.id.text())
                    .with("service", target.service.text())
                    .with("version", target.version.text())
                    .with("address", target.address.text())
                    .with("state", std::string(target.isDraining ? "draining" : "ready"))
                    .with("started_at", target.startedAt)
                    .with("cold_ms", target.remainingColdTime)
                    .with("sequence", target.sequence)
                    .with("revision", revision));
    m_gateway.putTarget(target);
}

bool PublishedState::holdFormerInstance(const TargetEntry &target, std::uint64_t latestStart,
                                        Revision revision)
{
    const bool isNews = m_instances.hold(target, m_loop.now());
    LogEvent line(FleetviewEvent::FormerInstanceHeld);
    if (!isNews)
        line.markRoutine();
    m_log.write(line.with("target", target.id.text())
                    .with("started_at", target.startedAt)
                    .with("latest_start", latestStart)
                    .with("state", std::string(target.isDraining ? "draining" : "ready"))
                    .with("sequence", target.sequence)
                    .with("revision", revision));
    return isNews;
}

void PublishedState::confirmView(Instant time)
{
    // After an outage, live targets need some time to write their entries again.
    if (m_outage.mayHaveExpired(m_loop.now()))
        return;
    for (const TargetEntry &target : m_instances.takeUncontested(time)) {
        m_log.write(LogEvent(FleetviewEvent::FormerInstanceBelieved)
                        .with("target", target.id.text())
                        .with("started_at", target.startedAt)
                        .with("sequence", target.sequence));
        putTarget(target, m_replica.revision());
    }
}

void PublishedState::applyEvacuation(const ItemChange &change)
{
    const DataCentreId dataCentre = m_decoder.dataCentreOfKey(change.key);
    // The evacuation is in force while the item exists, whatever its value.
    const bool isEvacuated = change.value.has_value();
    m_log.write(LogEvent(FleetviewEvent::EvacuationChanged)
                    .with("data_centre", dataCentre.text())
                    .with("state", std::string(isEvacuated ? "evacuated" : "taken back"))
                    .with("targets", m_gateway.targets().countIn(dataCentre))
                    .with("revision", change.revision));
    m_gateway.setEvacuated(dataCentre, isEvacuated);
}

bool PublishedState::isOlderThanDraining(const TargetEntry &target) const
{
    const auto record = m_drainRecords.find(target.instance());
    return record != m_drainRecords.end() && target.sequence < record->second.sequence;
}

void PublishedState::recordDraining(const TargetEntry &target)
{
    const Instant now = m_loop.now();
    std::erase_if(m_drainRecords, [now](const auto &entry) {
        return now - entry.second.recordedAt > DrainRecordLifetime;
    });
    if (target.isDraining)
        m_drainRecords[target.instance()] = {target.sequence, now};
    else
        m_drainRecords.erase(target.instance());
}

void PublishedState::removeTarget(const TargetId &target, Revision revision)
{
    const Instant now = m_loop.now();
    m_instances.discard(target);
    const TrackedTarget *known = m_gateway.targets().find(target);
    // The removal of a draining target is expected and needs no delay.
    const bool isDelayed = known && !known->entry.isDraining && m_outage.mayHaveExpired(now);
    m_log.write(LogEvent(isDelayed ? FleetviewEvent::RemovalHeld : FleetviewEvent::TargetChanged)
                    .with("target", target.text())
                    .with("state", std::string("removed"))
                    .with("revision", revision));
    if (!isDelayed) {
        forgetTarget(target);
        return;
    }
    m_delayedRemovals[target]
        = m_loop.after(m_outage.removalsUncertainUntil(now) - now, [this, target] {
              m_delayedRemovals.erase(target);
              forgetTarget(target);
          });
}

void PublishedState::forgetTarget(const TargetId &target)
{
    if (const TrackedTarget *known = m_gateway.targets().find(target))
        m_instances.recordRemoved(known->entry, m_loop.now());
    m_gateway.removeTarget(target);
}

void PublishedState::rejectTarget(const ItemChange &change, const ItemError &error)
{
    reject(change, error);
    const TargetId target = m_decoder.targetOfKey(change.key);
    cancelDelayedRemoval(target);
    m_instances.discard(target);
    if (!m_gateway.targets().find(target))
        return;
    // No valid entry confirms the address any more; another target may use it by now.
    m_log.write(LogEvent(FleetviewEvent::TargetChanged)
                    .with("target", target.text())
                    .with("state", std::string("unreadable"))
                    .with("revision", change.revision));
    forgetTarget(target);
}

void PublishedState::cancelDelayedRemoval(const TargetId &target)
{
    const auto delayed = m_delayedRemovals.find(target);
    if (delayed == m_delayedRemovals.end())
        return;
    m_loop.cancel(delayed->second);
    m_delayedRemovals.erase(delayed);
}

void PublishedState::reject(const ItemChange &change, const ItemError &error)
{
    m_log.write(LogEvent(FleetviewEvent::ItemRejected)
                    .with("key", change.key)
                    .with("field", error.field)
                    .with("revision", change.revision));
}

} // namespace Apricothook
