#include <apricothook/gateway/apricothook_forwarded_request.hpp>

#include <apricothook/gateway/internal/apricothook_attempt_failure.hpp>
#include <apricothook/gateway/internal/apricothook_attempt_log.hpp>

// ForwardedRequest: restarts of targets that run it. The request is handled in
// apricothook_forwarded_request.cpp.

namespace Apricothook {

void ForwardedRequest::onTargetRestarted(const TargetEntry &current, Instant started)
{
    for (Attempt *attempt : {m_silence.backup(), m_attempt.get()}) {
        if (!attempt || attempt->target.id != current.id
            || attempt->target.instance() == current.instance())
            continue;
        // The entry that it was placed by may have been a late write of the instance before.
        const bool isAtCurrent = attempt->isSent && attempt->started > started
            && attempt->target.address == current.address;
        if (isAtCurrent)
            attemptLog().keptAtRestart(*attempt, current);
        else
            failRestarted(*attempt);
    }
}

void ForwardedRequest::failRestarted(Attempt &attempt)
{
    // The connection to the earlier instance may stay open without traffic; the caller would then
    // wait until the deadline for a response that is never sent.
    attempt.channel->cancel();
    if (!attempt.isSent) {
        onAttemptFailed(attempt, TargetOutcome::Cancelled, AttemptFailure::NotConnected);
        return;
    }
    m_mayHaveRun = true;
    recordDropped(attempt);
    onAttemptFailed(attempt, TargetOutcome::Lost, "restarted");
}

} // namespace Apricothook
