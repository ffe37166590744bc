#include <apricothook/membership/apricothook_membership_limits.hpp>

#include <bit>

namespace Apricothook {

std::size_t transmissionsFor(std::size_t members)
{
    constexpr std::size_t Least = 4;
    return Least + std::bit_width(members);
}

Duration suspicionFor(std::size_t members)
{
    constexpr std::size_t LeastPeriods = 3;
    // The refutation needs to spread first, in a number of periods that grows with the logarithm.
    return ProbePeriod * (LeastPeriods + std::bit_width(members) / 2);
}

} // namespace Apricothook
