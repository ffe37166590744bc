#pragma once

#include <vector>

namespace Apricothook {

/**
 * Max-min fair shares of `total` among these demands: nobody gets more than its demand while
 * another lacks, and those who lack get the same. What is left is spread evenly. The sum is
 * `total`.
 */
std::vector<double> fairShares(const std::vector<double> &demands, double total);

} // namespace Apricothook
