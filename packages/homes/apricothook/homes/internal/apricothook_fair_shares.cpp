#include <apricothook/homes/internal/apricothook_fair_shares.hpp>

#include <algorithm>
#include <numeric>

namespace Apricothook {

std::vector<double> fairShares(const std::vector<double> &demands, double total)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::sort(order.begin(), order.end(), [&demands](std::size_t left, std::size_t right) {
        return demands[left] < demands[right];
    });
    std::vector<double> shares(demands.size());
    double left = total;
    std::size_t waiting = demands.size();
    for (const std::size_t index : order) {
        shares[index] = std::min(demands[index], left / static_cast<double>(waiting));
        left -= shares[index];
        --waiting;
    }
    for (double &share : shares)
        share += left / static_cast<double>(demands.size());
    return shares;
}

} // namespace Apricothook
