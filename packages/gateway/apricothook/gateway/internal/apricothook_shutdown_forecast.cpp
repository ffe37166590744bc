#include <apricothook/gateway/internal/apricothook_shutdown_forecast.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

/** A request may take longer than all recent ones. */
constexpr int LongestTimePercent = 150;

} // namespace

std::optional<ShutdownForecast> forecastAtShutdown(const GatewayContext &context,
                                                   const AdmittedRequest &request, Instant now)
{
    if (!context.shutdownAt)
        return std::nullopt;
    ShutdownForecast forecast {.expected = request.deadline - now,
                               .left = *context.shutdownAt - now};
    if (const std::optional<Duration> longest
        = context.responseTimes.longest(request.route->name, now))
        forecast.expected = std::min(forecast.expected, *longest * LongestTimePercent / 100);
    return forecast;
}

} // namespace Apricothook
