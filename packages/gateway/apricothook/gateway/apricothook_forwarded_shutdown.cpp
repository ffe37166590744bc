#include <apricothook/gateway/apricothook_forwarded_request.hpp>

#include <apricothook/http1/apricothook_http_status.hpp>

#include <apricothook/gateway/internal/apricothook_shutdown_forecast.hpp>

#include <utility>

// ForwardedRequest: what becomes of it when the process ends. The request is handled in
// apricothook_forwarded_request.cpp.

namespace Apricothook {

bool ForwardedRequest::outlastsProcess()
{
    const bool isAtTarget = m_attempt || m_silence.backup();
    if (isAtTarget || m_mayHaveRun || m_failedResponse || m_progress != Progress::Nothing
        || !m_admitted.route)
        return false;
    m_forecast = forecastAtShutdown(m_context, m_admitted, m_context.loop.now());
    return m_forecast && !m_forecast->isInTime();
}

void ForwardedRequest::refuseAtShutdown()
{
    stopWaiting();
    sendLocalResponse(RequestOutcome::Leaving, HttpStatus::Unavailable, Duration::zero());
}

void ForwardedRequest::onProcessStops()
{
    if (outlastsProcess())
        refuseAtShutdown();
}

void ForwardedRequest::onProcessEnds()
{
    if (m_progress != Progress::Nothing)
        return;
    m_failureCause = "process-ends";
    stopWaiting();
    cancelWithProcess(m_silence.takeBackup());
    cancelWithProcess(std::move(m_attempt));
    if (m_mayHaveRun || m_failedResponse)
        failRequest();
    else
        sendLocalResponse(RequestOutcome::Leaving, HttpStatus::Unavailable, Duration::zero());
}

void ForwardedRequest::onProcessGone()
{
    if (m_progress == Progress::Ended)
        return;
    m_failureCause = "process-ends";
    stopWaiting();
    cancelWithProcess(m_silence.takeBackup());
    cancelWithProcess(std::move(m_attempt));
    abort(RequestOutcome::Leaving);
}

void ForwardedRequest::cancelWithProcess(std::unique_ptr<Attempt> attempt)
{
    if (!attempt)
        return;
    m_mayHaveRun |= attempt->isSent;
    cancelAttempt(std::move(attempt), TargetOutcome::Cancelled);
}

} // namespace Apricothook
