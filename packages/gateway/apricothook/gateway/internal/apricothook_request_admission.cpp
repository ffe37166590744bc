#include <apricothook/gateway/internal/apricothook_request_admission.hpp>

#include <apricothook/http1/apricothook_http_status.hpp>

#include <apricothook/gateway/internal/apricothook_shutdown_forecast.hpp>

#include <algorithm>
#include <limits>

namespace Apricothook {

namespace {

/** Used if nothing is known about when the request could be served. */
constexpr std::chrono::milliseconds DefaultRetryAfter {500};
/** Bounds of the time after which a request that finds no room may come back. */
constexpr std::chrono::milliseconds ShortestNoRoom {500};
constexpr std::chrono::milliseconds LongestNoRoom {1500};

Result<void, AdmissionRefusal> findRoute(GatewayContext &context, AdmittedRequest &request)
{
    const RouteTable &routes = *request.routes;
    request.route = routes.route(request.fields.host, request.fields.path);
    if (!request.route)
        return AdmissionRefusal {RequestOutcome::NoRoute, HttpStatus::NotFound, std::nullopt};
    request.customer = routes.customerOfKey(request.fields.customerKey);
    if (!request.customer && routes.hasCustomers() && !request.route->isPublic)
        return AdmissionRefusal {RequestOutcome::UnknownKey, HttpStatus::Unauthorized,
                                 std::nullopt};
    request.service = serviceOf(*request.route, context.random.next());
    request.randomDraw = static_cast<double>(context.random.next())
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return Outcomes::success();
}

void setSizeAndDeadline(Instant receiveStarted, AdmittedRequest &request)
{
    const RouteRule &route = *request.route;
    const bool hasTier = request.customer && request.customer->tier;
    request.tier = hasTier ? *request.customer->tier : route.tier;
    assignService(request, request.service);
    const Duration patience = request.fields.timeout.value_or(route.timeout);
    // The caller's timeout also covers the upload of the body. A target that was given the full
    // timeout after the upload would still work after the caller has disconnected.
    request.deadline = receiveStarted + std::min(patience, route.timeout);
}

double demandedUnits(const AdmittedRequest &request)
{
    if (request.customer->unit == LimitUnit::Requests)
        return 1;
    return static_cast<double>(
        request.fields.totalTokens.value_or(request.customer->defaultTokens));
}

} // namespace

Generation AdmittedRequest::generation() const
{
    return routes ? routes->configuration().generation : Generation();
}

Duration retryAfterNoRoom(RandomSource &random)
{
    constexpr std::chrono::milliseconds Spread = LongestNoRoom - ShortestNoRoom;
    return ShortestNoRoom
        + std::chrono::milliseconds(random.next() % static_cast<std::uint64_t>(Spread.count()));
}

Result<void, AdmissionRefusal> admit(const ReceivedRequest &received, GatewayContext &context,
                                     AdmittedRequest &request)
{
    const Result<RequestFields, RequestFieldsError> fields
        = context.protocol.callerRequest(received.head);
    if (!fields)
        return AdmissionRefusal {RequestOutcome::BadRequest, HttpStatus::BadRequest, std::nullopt};
    request.fields = fields.value();
    if (!context.routes) {
        return AdmissionRefusal {RequestOutcome::NoConfiguration, HttpStatus::Unavailable,
                                 DefaultRetryAfter};
    }
    if (context.refusesNewRequests)
        return AdmissionRefusal {RequestOutcome::Leaving, HttpStatus::Unavailable,
                                 Duration::zero()};
    request.routes = context.routes;
    BOOST_OUTCOME_TRY(findRoute(context, request));
    setSizeAndDeadline(received.receiveStarted, request);
    const std::optional<ShutdownForecast> shutdown
        = forecastAtShutdown(context, request, context.loop.now());
    if (shutdown && !shutdown->isInTime())
        return AdmissionRefusal {RequestOutcome::Leaving, HttpStatus::Unavailable, Duration::zero(),
                                 shutdown};
    if (received.lacksBody || context.memory.isFull())
        return AdmissionRefusal {RequestOutcome::NoMemory, HttpStatus::Unavailable,
                                 retryAfterNoRoom(context.random)};
    return Outcomes::success();
}

void assignService(AdmittedRequest &request, const ServiceId &service)
{
    request.service = service;
    const ServiceRule *rule = request.routes->service(service);
    const std::uint64_t perEvent = rule ? std::max(rule->tokensPerEvent, 1U) : 1;
    request.size = {request.fields.promptTokens, request.fields.expectedOutputTokens / perEvent,
                    request.route->isStream};
}

UnitDemand unitDemand(GatewayContext &context, const AdmittedRequest &request)
{
    const LimitUnit unit = request.customer->unit;
    UnitDemand demand {demandedUnits(request), 0};
    context.limitReserve.recordUnits(unit, *request.route, demand.units);
    if (context.policies.limitReserve)
        demand.reservedFraction = context.limitReserve.reservedFraction(unit, *request.route);
    return demand;
}

} // namespace Apricothook
