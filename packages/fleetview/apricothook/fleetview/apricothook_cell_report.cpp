#include <apricothook/fleetview/apricothook_cell_report.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

namespace Apricothook {

std::uint64_t memberNumber(const MemberId &member)
{
    return hashOf(member.text());
}

} // namespace Apricothook
