#pragma once

#include <apricothook/gateway/internal/apricothook_request_admission.hpp>

namespace Apricothook {

/** Adds the size of a new request to the statistics of its route. */
void recordRequestSize(GatewayContext &context, const AdmittedRequest &request);

/**
 * Priority of a request in its service's queue: ordered by the customer's tier, then by the route's
 * worth per service time, then by the request's size.
 */
RequestRank rankOf(const GatewayContext &context, const AdmittedRequest &request);

} // namespace Apricothook
