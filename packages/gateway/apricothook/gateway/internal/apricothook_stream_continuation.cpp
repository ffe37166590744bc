#include <apricothook/gateway/internal/apricothook_stream_continuation.hpp>

#include <apricothook/gateway/apricothook_gateway_event.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

/** Time for which a stream is remembered after its caller has stopped waiting. */
constexpr std::chrono::seconds LifetimeSlack {2};

/** The caller's request that began the stream. */
const RequestKey &streamOf(const AdmittedRequest &request)
{
    const RequestFields &fields = request.fields;
    return fields.resumes.isEmpty() ? fields.id : fields.resumes;
}

const WeightedService *findService(const RouteRule &route, std::uint64_t service)
{
    const auto found = std::ranges::find_if(route.services, [service](const WeightedService &each) {
        return serviceHash(each.service) == service;
    });
    return found == route.services.end() ? nullptr : &*found;
}

} // namespace

StreamContinuation::~StreamContinuation()
{
    cancel();
    if (m_hasEvents)
        m_context.streams.end(m_exchange);
}

bool StreamContinuation::isNeeded(const AdmittedRequest &request)
{
    const RequestFields &fields = request.fields;
    return request.route->isStream && (fields.lastEventId || !fields.resumes.isEmpty());
}

std::optional<StreamOriginDecision> StreamContinuation::findOrigin(const AdmittedRequest &request)
{
    const RequestKey &stream = request.fields.resumes;
    std::optional<StreamOriginDecision> decision = stream.isEmpty()
        ? m_context.unnamedStreams.find(m_exchange, *request.route)
        : m_context.streams.find(m_exchange, stream);
    m_isWaiting = !decision;
    return decision;
}

void StreamContinuation::cancel()
{
    if (!std::exchange(m_isWaiting, false))
        return;
    m_context.streams.cancel(m_exchange);
    m_context.unnamedStreams.cancel(m_exchange);
}

bool StreamContinuation::apply(const StreamOriginDecision &decision, AdmittedRequest &request)
{
    m_isWaiting = false;
    const WeightedService *service
        = decision.origin ? findService(*request.route, decision.origin->service) : nullptr;
    m_context.metrics.streamTakenUp(service ? nameOf(decision.source) : "unknown");
    m_version = service ? decision.origin->version : TargetVersion();
    m_context.log.write(LogEvent(GatewayEvent::StreamTakenUp)
                            .forRequest(request.fields.id)
                            .with("stream", request.fields.resumes.text())
                            .with("last_event", request.fields.lastEventId.value_or(0))
                            .with("began_version", versionName().text())
                            .with("service", service ? service->service.text() : std::string())
                            .with("origin_known", decision.origin.has_value())
                            .with("from", std::string(nameOf(decision.source)))
                            .with("asks", decision.queries)
                            .with("answers", decision.answers)
                            .with("wait_ms", decision.waited)
                            .with("remembered_ms", decision.lifetime));
    if (!service)
        return false;
    assignService(request, service->service);
    return true;
}

void StreamContinuation::onFirstEvent(const AdmittedRequest &request, const TargetEntry &target)
{
    if (!m_version)
        m_version = target.version;
    if (!std::exchange(m_hasEvents, true) && request.route->isResumable)
        remember(request, target);
}

void StreamContinuation::remember(const AdmittedRequest &request, const TargetEntry &target)
{
    if (target.version.isEmpty())
        return;
    const Duration patience = request.fields.timeout.value_or(request.route->timeout);
    const Duration lifetime = std::max(patience, request.route->timeout) + LifetimeSlack;
    const std::size_t holders = m_context.streams.begin(
        m_exchange, streamOf(request), {serviceHash(request.service), target.version}, lifetime);
    m_context.log.write(LogEvent(GatewayEvent::StreamBegun)
                            .markRoutine()
                            .forRequest(request.fields.id)
                            .with("stream", request.fields.resumes.text())
                            .with("target", target.id.text())
                            .with("version", target.version.text())
                            .with("holders", holders)
                            .with("remembered_ms", lifetime));
}

} // namespace Apricothook
