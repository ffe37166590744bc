#include <apricothook/gateway/internal/apricothook_request_rank.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

double expectedTime(const GatewayContext &context, const AdmittedRequest &request)
{
    const Duration whole = context.targets.expectedDuration(request.service, request.size);
    return std::chrono::duration<double, std::milli>(whole).count();
}

/** Only streams are ordered by size: the length of other responses isn't known beforehand. */
bool isOrderedBySize(const GatewayContext &context, const AdmittedRequest &request)
{
    return context.policies.sizeOrder && request.size.isStream;
}

} // namespace

void recordRequestSize(GatewayContext &context, const AdmittedRequest &request)
{
    if (isOrderedBySize(context, request))
        context.sizes.recordSize(request.route->name, expectedTime(context, request));
}

RequestRank rankOf(const GatewayContext &context, const AdmittedRequest &request)
{
    const RouteRule &route = *request.route;
    const Tier ofRoute = context.policies.urgency
        ? context.urgency.tierOf(request.service, route.name, route.tier)
        : route.tier;
    const int level = isOrderedBySize(context, request)
        ? context.sizes.level(route.name, expectedTime(context, request), request.randomDraw)
        : 0;
    // The offset keeps the rank from becoming negative for the smallest requests.
    const int rank = ofRoute.rank() + SizeOrder::MostLevels + level;
    return {request.tier, Tier(static_cast<std::uint8_t>(std::min<int>(rank, LowestTierRank)))};
}

} // namespace Apricothook
