#include <apricothook/gateway/apricothook_forwarded_request.hpp>

#include <apricothook/http1/apricothook_http_status.hpp>

// ForwardedRequest: requests that go on with a stream of an earlier one. The request is handled in
// apricothook_forwarded_request.cpp.

namespace Apricothook {

namespace {

/** Another daemon may know the stream, or this one soon. */
constexpr std::chrono::milliseconds UnknownVersionRetryAfter {200};

} // namespace

void ForwardedRequest::findOrigin()
{
    if (!StreamContinuation::isNeeded(m_admitted)) {
        acquireUnits();
        return;
    }
    if (const std::optional<StreamOriginDecision> decision = m_continuation.findOrigin(m_admitted))
        onOriginDecided(*decision);
}

void ForwardedRequest::onOriginDecided(const StreamOriginDecision &decision)
{
    if (m_continuation.apply(decision, m_admitted)) {
        acquireUnits();
        return;
    }
    sendLocalResponse(RequestOutcome::UnknownVersion, HttpStatus::Unavailable,
                      UnknownVersionRetryAfter);
}

TargetConstraint ForwardedRequest::constraint() const
{
    return {m_triedTargets, m_continuation.version()};
}

} // namespace Apricothook
