#include <apricothook/dispatch/apricothook_size_order.hpp>

#include <algorithm>
#include <cmath>

namespace Apricothook {

void SizeOrder::recordSize(const ClassId &route, double expected)
{
    m_routes[route].add(expected);
}

int SizeOrder::level(const ClassId &route, double expected, double randomDraw) const
{
    const auto mean = m_routes.find(route);
    if (mean == m_routes.end() || expected <= 0 || mean->second.value().value_or(0) <= 0)
        return 0;
    const double doublings = std::log2(expected / *mean->second.value());
    const double level = std::round(doublings * LevelsPerDoubling);
    if (level > 0 && randomDraw < SmallestSizeFraction)
        return -MostLevels;
    if (level > 0 && randomDraw < UsualSizeFraction)
        return 0;
    return static_cast<int>(std::clamp<double>(level, -MostLevels, MostLevels));
}

} // namespace Apricothook
