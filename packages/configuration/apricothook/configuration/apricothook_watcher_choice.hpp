#pragma once

#include <apricothook/model/apricothook_member_view.hpp>

#include <cstddef>
#include <vector>

namespace Apricothook {

/**
 * The members of a data centre that watch the platform: the first few by rendezvous hashing over
 * its alive members. When one dies only its successor changes, and all others go on as before.
 */
std::vector<MemberId> watchersOf(const MemberView &view, const DataCentreId &dataCentre,
                                 std::size_t count);

} // namespace Apricothook
