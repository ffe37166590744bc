#include <apricothook/gateway/apricothook_forwarded_request.hpp>

#include <apricothook/gateway/internal/apricothook_attempt_log.hpp>

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
    attemptLog().silent(*m_attempt, silence, limit, obstacle.empty() ? "places-backup" : obstacle);
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
    m_attempt->isFirstSilent
        = m_context.targets.recordSilence(m_attempt->target.instance(), m_context.loop.now());
}

void ForwardedRequest::placeBackup()
{
    m_held = {};
    submit();
}

void ForwardedRequest::failBackup(bool hasArrived)
{
    m_unconnectedBackups += hasArrived ? 0 : 1;
    m_context.metrics.backupEnded("failed");
    m_silence.onBackupFailed();
}

void ForwardedRequest::sendBackup(const TargetEntry &target)
{
    m_silence.begin(makeAttempt(target));
    startAttempt(*m_silence.backup());
}

void ForwardedRequest::withdrawBackup()
{
    attemptLog().backupRefused(*m_attempt, "budget");
    ++m_unconnectedBackups;
    cancelAttempt(m_silence.takeBackup(), TargetOutcome::Cancelled);
    m_silence.onBackupFailed();
}

bool ForwardedRequest::refuseBackup(std::string_view cause)
{
    if (!m_silence.isPlacing())
        return false;
    attemptLog().backupRefused(*m_attempt, cause);
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
    attemptLog().backupEnded("took-over", *m_attempt, *silent);
    m_mayHaveRun = true;
    ++m_runs;
    // A pause counts once, however many requests it meets; a target that hangs, again and again.
    const TargetOutcome outcome
        = silent->isFirstSilent ? TargetOutcome::Lost : TargetOutcome::Cancelled;
    cancelAttempt(std::move(silent), outcome);
}

void ForwardedRequest::cancelBackup()
{
    std::unique_ptr<Attempt> backup = m_silence.takeBackup();
    attemptLog().backupEnded("not-needed", *m_attempt, *backup);
    m_runs += backup->isSent ? 1 : 0;
    // The request has just been answered elsewhere, so it doesn't crash its targets.
    reportPermit(*backup, PermitUse::Sound);
    cancelAttempt(std::move(backup), TargetOutcome::Cancelled);
}

std::unique_ptr<Attempt> ForwardedRequest::release(const Attempt &attempt)
{
    return isBackup(attempt) ? m_silence.takeBackup() : std::move(m_attempt);
}

} // namespace Apricothook
