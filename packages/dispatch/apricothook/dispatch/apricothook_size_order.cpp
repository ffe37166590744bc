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
    const auto usual = m_routes.find(route);
    if (usual == m_routes.end() || expected <= 0 || usual->second.value().value_or(0) <= 0)
        return 0;
    const double doublings = std::log2(expected / *usual->second.value());
    const double level = std::round(doublings * LevelsForEachDoubling);
    if (level > 0 && randomDraw < FirstLotPart)
        return -MostLevels;
    if (level > 0 && randomDraw < LotPart)
        return 0;
    return static_cast<int>(std::clamp<double>(level, -MostLevels, MostLevels));
}

} // namespace Apricothook
