#include <apricothook/configuration/apricothook_member_sample.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

bool fits(const MemberUpdate &member, const DataCentreId &own, Nearness nearness)
{
    if (nearness == Nearness::Anywhere)
        return true;
    return (member.dataCentre == own) == (nearness == Nearness::OwnDataCentre);
}

} // namespace

std::vector<MemberId> sampleMembers(const MemberView &view, const DataCentreId &own,
                                    Nearness nearness, std::size_t count, RandomSource &random)
{
    std::vector<MemberId> members;
    for (const MemberUpdate &member : view.live()) {
        if (member.instance.member != view.self().member && fits(member, own, nearness))
            members.push_back(member.instance.member);
    }
    const std::size_t wanted = std::min(count, members.size());
    for (std::size_t i = 0; i < wanted; ++i)
        std::swap(members[i], members[i + random.next() % (members.size() - i)]);
    members.resize(wanted);
    return members;
}

} // namespace Apricothook
