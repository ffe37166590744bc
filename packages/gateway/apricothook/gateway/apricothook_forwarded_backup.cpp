#include <apricothook/gateway/apricothook_forwarded_request.hpp>

#include <apricothook/gateway/apricothook_gateway_event.hpp>

#include <algorithm>
#include <utility>

// ForwardedRequest: a second attempt beside that at a silent target. The request is handled in
// apricothook_forwarded_request.cpp.

namespace Apricothook {

namespace {

/** Multiple of the expected time to the first event after which a target is unresponsive. */
constexpr int FirstEventTimeoutFactor = 3;

} // namespace

Duration ForwardedRequest::firstEventTimeout() const
{
    const Duration expected
        = m_context.targets.expectedTimeToFirstEvent(m_admitted.service, m_admitted.size);
    return std::max(m_admitted.route->objective, FirstEventTimeoutFactor * expected);
}

bool ForwardedRequest::onTargetSilent(Duration silence, Duration limit)
{
    std::string_view obstacle = retryObstacle();
    // The silent attempt is a run, too.
    if (obstacle.empty() && m_runs + 1 >= m_admitted.route->maximumAttempts)
        obstacle = "attempts";
    if (obstacle.empty()
        && !m_context.retryBudgetOf(m_admitted.service)
                .check(m_context.loop.now(), m_context.fleetSize)
                .isGranted)
        obstacle = "budget";
    logSilence(silence, limit, obstacle.empty() ? "places-backup" : obstacle);
    m_attempt->isSilent = true;
    if (obstacle.empty() && !std::exchange(m_attempt->isReported, true))
        recordSilence();
    return obstacle.empty();
}

void ForwardedRequest::recordSilence()
{
    // If the target has crashed, a permit decides whether another one may get the request.
    recordDropped(*m_attempt);
    reportPermit(*m_attempt, PermitUse::Lost);
    m_context.targets.recordSilence(m_attempt->target.instance(), m_context.loop.now());
}

void ForwardedRequest::logSilence(Duration silence, Duration limit, std::string_view decision)
{
    const std::optional<Endpoint> &relay = m_attempt->channel->relay();
    m_context.log.write(LogEvent(GatewayEvent::TargetSilent)
                            .forRequest(m_admitted.fields.id)
                            .with("target", m_attempt->target.id.text())
                            .with("version", m_attempt->target.version.text())
                            .with("relay", relay ? relay->text() : std::string())
                            .with("decision", std::string(decision))
                            .with("silent_ms", silence)
                            .with("limit_ms", limit)
                            .with("last_event", m_lastEvent.value_or(0))
                            .with("forwarded", m_progress != Progress::Nothing)
                            .with("attempt", m_sends)
                            .with("runs", m_runs)
                            .with("left_ms", m_admitted.deadline - m_context.loop.now()));
}

void ForwardedRequest::onPathLost(const TargetInstance &target)
{
    const bool isAffected = m_attempt && m_attempt->isSent && !m_attempt->channel->relay()
        && m_attempt->target.instance() == target;
    if (isAffected && m_admitted.route->isRetryable())
        m_silence.expire();
}

void ForwardedRequest::sendBackup(const TargetEntry &target)
{
    if (!takeRetryFromBudget(m_context.loop.now())) {
        if (const std::optional<std::uint64_t> permit = std::exchange(m_permit, std::nullopt))
            m_context.suspectGuard->reportPermit(*permit, PermitUse::Unused, target.instance());
        releaseSlot(target);
        refuseBackup("budget");
        return;
    }
    m_silence.begin(makeAttempt(target));
    startAttempt(*m_silence.backup());
}

bool ForwardedRequest::refuseBackup(std::string_view cause)
{
    if (!m_silence.isPlacing())
        return false;
    m_context.metrics.backupEnded("refused");
    m_context.log.write(LogEvent(GatewayEvent::BackupRefused)
                            .markRoutine()
                            .forRequest(m_admitted.fields.id)
                            .with("target", m_attempt->target.id.text())
                            .with("cause", std::string(cause))
                            .with("left_ms", m_admitted.deadline - m_context.loop.now()));
    m_silence.onPlacementRefused();
    return true;
}

void ForwardedRequest::select(Attempt &attempt)
{
    if (isBackup(attempt))
        takeOver();
    else if (m_silence.backup())
        cancelBackup();
    else if (m_silence.isPlacing())
        stopWaiting();
}

void ForwardedRequest::takeOver()
{
    std::unique_ptr<Attempt> silent = std::exchange(m_attempt, m_silence.takeBackup());
    logBackupEnd("took-over", *m_attempt, *silent);
    m_mayHaveRun = true;
    ++m_runs;
    cancelAttempt(std::move(silent), TargetOutcome::Cancelled);
}

void ForwardedRequest::cancelBackup()
{
    std::unique_ptr<Attempt> backup = m_silence.takeBackup();
    logBackupEnd("not-needed", *m_attempt, *backup);
    m_runs += backup->isSent ? 1 : 0;
    // The request has just been answered elsewhere, so it doesn't crash its targets.
    reportPermit(*backup, PermitUse::Sound);
    cancelAttempt(std::move(backup), TargetOutcome::Cancelled);
}

void ForwardedRequest::logBackupEnd(std::string_view outcome, const Attempt &kept,
                                    const Attempt &ended)
{
    const Instant now = m_context.loop.now();
    m_context.metrics.backupEnded(outcome);
    m_context.log.write(LogEvent(GatewayEvent::BackupEnded)
                            .forRequest(m_admitted.fields.id)
                            .with("outcome", std::string(outcome))
                            .with("target", kept.target.id.text())
                            .with("cancelled", ended.target.id.text())
                            .with("cancelled_silent_ms", now - ended.lastEvent)
                            .with("kept_age_ms", now - kept.started)
                            .with("last_event", m_lastEvent.value_or(0))
                            .with("left_ms", m_admitted.deadline - now));
}

std::unique_ptr<Attempt> ForwardedRequest::release(const Attempt &attempt)
{
    return isBackup(attempt) ? m_silence.takeBackup() : std::move(m_attempt);
}

} // namespace Apricothook
