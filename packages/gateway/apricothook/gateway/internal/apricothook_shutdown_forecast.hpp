#pragma once

#include <apricothook/gateway/apricothook_gateway_context.hpp>
#include <apricothook/gateway/internal/apricothook_request_admission.hpp>

#include <optional>

namespace Apricothook {

/**
 * Whether a process that is shutting down can complete a request that it hasn't sent to a target
 * yet; nothing unless it is shutting down.
 *
 * The request is expected to take longer than all recent ones of its route, but not longer than its
 * deadline; that alone counts for a route with few responses.
 */
std::optional<ShutdownForecast> forecastAtShutdown(const GatewayContext &context,
                                                   const AdmittedRequest &request, Instant now);

} // namespace Apricothook
