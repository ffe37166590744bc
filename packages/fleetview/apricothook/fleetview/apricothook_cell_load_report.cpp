#include <apricothook/fleetview/apricothook_cell_load_report.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

namespace Apricothook {

std::uint64_t memberHash(const MemberId &member)
{
    return hashOf(member.text());
}

} // namespace Apricothook
