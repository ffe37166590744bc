#pragma once

#include <apricothook/gateway/apricothook_gateway_context.hpp>
#include <apricothook/gateway/internal/apricothook_request_admission.hpp>

#include <optional>

namespace Apricothook {

/**
 * Keeps one request's stream at the version that began it: within the response, and where the
 * caller goes on with a stream of an earlier request. What targets of two versions write doesn't
 * fit together.
 */
class StreamContinuation
{
public:
    StreamContinuation(GatewayContext &context, ExchangeId exchange)
        : m_context(context), m_exchange(exchange)
    {
    }
    ~StreamContinuation();
    StreamContinuation(const StreamContinuation &) = delete;
    StreamContinuation &operator=(const StreamContinuation &) = delete;

    /** Whether the request goes on with an earlier stream, whose origin must be found first. */
    static bool isNeeded(const AdmittedRequest &request);
    /** Returns the origin, or nothing if other daemons are asked; see Gateway. */
    std::optional<StreamOriginDecision> findOrigin(const AdmittedRequest &request);
    /** Stops waiting for the origin. */
    void cancel();
    /**
     * Binds the request to the service and version of the origin. Returns false if the origin isn't
     * known, or if its service is no longer one of the route's.
     */
    bool apply(const StreamOriginDecision &decision, AdmittedRequest &request);
    /** Must be called before the first event of an attempt is forwarded. */
    void onFirstEvent(const AdmittedRequest &request, const TargetEntry &target);

    /** Set as soon as the stream has begun: the only version that may go on with it. */
    const std::optional<TargetVersion> &version() const { return m_version; }
    /** The same for the log; empty before the stream has begun. */
    TargetVersion versionName() const { return m_version.value_or(TargetVersion()); }

private:
    void remember(const AdmittedRequest &request, const TargetEntry &target);

    GatewayContext &m_context;
    const ExchangeId m_exchange;
    bool m_isWaiting = false;
    bool m_hasEvents = false;
    std::optional<TargetVersion> m_version;
};

} // namespace Apricothook
