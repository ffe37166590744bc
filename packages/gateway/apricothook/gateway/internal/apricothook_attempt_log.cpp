#include <apricothook/gateway/internal/apricothook_attempt_log.hpp>

namespace Apricothook {

namespace {

std::string relayOf(const Attempt &attempt)
{
    const std::optional<Endpoint> &relay = attempt.channel->relay();
    return relay ? relay->text() : std::string();
}

/** Comma-separated; for the log. */
std::string namesOf(const std::vector<PromptPartId> &parts)
{
    std::string names;
    for (const PromptPartId &part : parts)
        names += (names.empty() ? "" : ",") + part.text();
    return names;
}

void addTargetUnit(LogEvent &line, const LimitDecision &unit, const TargetLimit *limit, Instant now)
{
    line.with("limit_per_s", limit ? limit->perSecond().value_or(0) : 0)
        .with("limit_age_ms", limit ? now - limit->observed : Duration())
        .with("limit_from", std::string(nameOf(unit.source)))
        .with("limit_wait_ms", unit.waited)
        .with("level", unit.level);
}

} // namespace

LogEvent AttemptLog::line(GatewayEvent event, const Attempt &attempt) const
{
    LogEvent line(event);
    line.forRequest(m_state.request.fields.id)
        .with("target", attempt.target.id.text())
        .with("last_event", m_state.lastEvent.value_or(0))
        .with("left_ms", m_state.request.deadline - m_context.loop.now());
    return line;
}

void AttemptLog::placed(const Attempt &attempt, bool isBackup)
{
    const Instant now = m_context.loop.now();
    const TargetInstance target = attempt.target.instance();
    const TargetPaths &paths = m_context.paths.paths();
    const std::optional<Instant> lost = paths.lostSince(target);
    const TrackedTarget *believed = m_context.targets.find(attempt.target.id);
    LogEvent line = this->line(GatewayEvent::RequestPlaced, attempt);
    if (m_state.targetUnit) {
        m_context.metrics.targetUnitDecided(m_state.request.service, true);
        addTargetUnit(line, *m_state.targetUnit, m_context.targetLimits.find(targetHash(target)),
                      now);
    }
    if (believed) {
        if (const std::optional<double> pause = m_context.targets.expectedPause(*believed))
            line.with("expected_pause_ms", *pause);
    }
    if (m_state.turnWait)
        line.with("turn_wait_ms", *m_state.turnWait);
    m_context.log.write(line.markRoutine()
                            .with("version", attempt.target.version.text())
                            .with("stream", m_state.request.fields.resumes.text())
                            .with("began_version", m_state.beganVersion.text())
                            .with("path", std::string(nameOf(paths.state(target))))
                            .with("path_lost_ms", lost ? now - *lost : Duration())
                            .with("relay", relayOf(attempt))
                            .with("trial", m_state.isTrial)
                            .with("own_load", believed ? believed->ownRequests : 0)
                            .with("brittle", believed && believed->hasOwnShare)
                            .with("share", believed ? believed->cellSlots : 0)
                            .with("others_load", believed ? believed->requestsOfOthers : 0)
                            .with("slots", attempt.target.slots)
                            .with("cold", believed && believed->isCold)
                            .with("attempt", m_state.sends)
                            .with("backup", isBackup)
                            .with("prompt", m_state.request.size.promptTokens)
                            .with("events", m_state.request.size.events)
                            .with("urgency", m_state.rank.route.rank())
                            .with("waited_ms", now - m_state.arrived)
                            .with("generation", m_state.request.generation().value()));
}

void AttemptLog::failed(const Attempt &attempt, std::string_view cause, bool isBackup)
{
    m_context.log.write(line(GatewayEvent::AttemptFailed, attempt)
                            .with("version", attempt.target.version.text())
                            .with("relay", relayOf(attempt))
                            .with("cause", std::string(cause))
                            .with("status", attempt.head.status)
                            .with("attempt", m_state.sends)
                            .with("backup", isBackup)
                            .with("may_have_run", m_state.mayHaveRun)
                            .with("suspect", std::to_string(m_state.suspect))
                            .with("prompt_parts", namesOf(m_state.request.fields.promptParts))
                            .with("trial", m_state.isTrial)
                            .with("took_ms", m_context.loop.now() - attempt.started));
}

void AttemptLog::keptAtRestart(const Attempt &attempt, const TargetEntry &current)
{
    m_context.log.write(line(GatewayEvent::AttemptKeptAtRestart, attempt)
                            .markRoutine()
                            .with("started_at", current.startedAt)
                            .with("placed_by_start", attempt.target.startedAt)
                            .with("sent_before_ms", m_context.loop.now() - attempt.started));
}

void AttemptLog::silent(const Attempt &attempt, Duration silence, Duration limit,
                        std::string_view decision)
{
    m_context.log.write(line(GatewayEvent::TargetSilent, attempt)
                            .with("version", attempt.target.version.text())
                            .with("relay", relayOf(attempt))
                            .with("decision", std::string(decision))
                            .with("silent_ms", silence)
                            .with("limit_ms", limit)
                            .with("forwarded", m_state.isForwarded)
                            .with("attempt", m_state.sends)
                            .with("runs", m_state.runs));
}

void AttemptLog::backupRefused(const Attempt &silent, std::string_view cause)
{
    m_context.metrics.backupEnded("refused");
    m_context.log.write(
        line(GatewayEvent::BackupRefused, silent).markRoutine().with("cause", std::string(cause)));
}

void AttemptLog::backupEnded(std::string_view outcome, const Attempt &kept,
                             const Attempt &cancelled)
{
    const Instant now = m_context.loop.now();
    m_context.metrics.backupEnded(outcome);
    m_context.log.write(line(GatewayEvent::BackupEnded, kept)
                            .with("outcome", std::string(outcome))
                            .with("cancelled", cancelled.target.id.text())
                            .with("cancelled_silent_ms", now - cancelled.lastEvent)
                            .with("kept_age_ms", now - kept.started));
}

} // namespace Apricothook
