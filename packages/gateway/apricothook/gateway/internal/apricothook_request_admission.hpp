#pragma once

#include <apricothook/gateway/apricothook_caller_responder.hpp>
#include <apricothook/gateway/apricothook_gateway_context.hpp>
#include <apricothook/gateway/apricothook_request_end.hpp>
#include <apricothook/model/apricothook_result.hpp>

#include <memory>
#include <optional>

namespace Apricothook {

/** A request with all that is known of it before a target is chosen. */
struct AdmittedRequest
{
    RequestFields fields;
    /** The configuration that it came under, and under which it ends. */
    std::shared_ptr<const RouteTable> routes;
    const RouteRule *route = nullptr;
    /** Null on a public route without a key. */
    const CustomerRule *customer = nullptr;
    ServiceId service;
    Tier tier;
    RequestSize size;
    Instant deadline {};
    /** Drawn once, 0 to 1; decides whether a large request counts as a usual one. */
    double randomDraw = 1;

    Generation generation() const;
};

/** Why a request isn't admitted, and what its caller hears. */
struct AdmissionRefusal
{
    RequestEnd end = RequestEnd::BadRequest;
    unsigned status = 0;
    std::optional<Duration> retryAfter;
};

/** Finds the request's route and customer. What was read by then is in `request`, for the log. */
Result<void, AdmissionRefusal> admit(const ReceivedRequest &received, GatewayContext &context,
                                     AdmittedRequest &request);

/** What an admitted request with a customer asks of the customer's limit. */
UnitDemand limitClaim(GatewayContext &context, const AdmittedRequest &request);

} // namespace Apricothook
