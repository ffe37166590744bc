#pragma once

#include <apricothook/gateway/apricothook_caller_responder.hpp>
#include <apricothook/gateway/apricothook_gateway_context.hpp>
#include <apricothook/gateway/apricothook_request_outcome.hpp>
#include <apricothook/gateway/apricothook_shutdown_forecast.hpp>
#include <apricothook/model/apricothook_result.hpp>

#include <memory>
#include <optional>

namespace Apricothook {

/** A request with its route, customer, size and deadline, before a target is chosen. */
struct AdmittedRequest
{
    RequestFields fields;
    /** The configuration at the arrival of the request; used until the request ends. */
    std::shared_ptr<const RouteTable> routes;
    const RouteRule *route = nullptr;
    /** Null for a request without a valid key, where the route allows that. */
    const CustomerRule *customer = nullptr;
    ServiceId service;
    Tier tier;
    RequestSize size;
    Instant deadline {};
    /** Random number from 0 to 1, drawn once; exempts some large requests from the size order. */
    double randomDraw = 1;

    Generation generation() const;
};

/** Why a request isn't admitted, and the response to its caller. */
struct AdmissionRefusal
{
    RequestOutcome outcome = RequestOutcome::BadRequest;
    unsigned status = 0;
    std::optional<Duration> retryAfter;
    /** Set if the process ends too early for the request. */
    std::optional<ShutdownForecast> shutdown {};
};

/** When a request that finds no room may come back; spread, so that not all come at once. */
Duration retryAfterNoRoom(RandomSource &random);

/** Fills `request`; if it isn't admitted, with the fields read so far, for the log. */
Result<void, AdmissionRefusal> admit(const ReceivedRequest &received, GatewayContext &context,
                                     AdmittedRequest &request);

/** Sends the admitted request to another service of its route. */
void assignService(AdmittedRequest &request, const ServiceId &service);

/** The units that an admitted request needs from its customer's limit. */
UnitDemand unitDemand(GatewayContext &context, const AdmittedRequest &request);

} // namespace Apricothook
