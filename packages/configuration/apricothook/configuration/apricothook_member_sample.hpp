#pragma once

#include <apricothook/model/apricothook_member_view.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <cstddef>
#include <vector>

namespace Apricothook {

enum class Nearness { Anywhere, OwnDataCentre, OtherDataCentre };

/** Up to `count` distinct live members besides this one, drawn at random. */
std::vector<MemberId> sampleMembers(const MemberView &view, const DataCentreId &own,
                                    Nearness nearness, std::size_t count, RandomSource &random);

} // namespace Apricothook
