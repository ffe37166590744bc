#include <apricothook/configuration/apricothook_watcher_choice.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

std::vector<MemberId> watchersOf(const MemberView &view, const DataCentreId &dataCentre,
                                 std::size_t count)
{
    std::vector<std::pair<std::uint64_t, MemberId>> weighted;
    const std::string key = "watch/" + dataCentre.text();
    for (const MemberUpdate &member : view.live()) {
        if (member.dataCentre != dataCentre || member.state == MemberState::Leaving)
            continue;
        weighted.emplace_back(rendezvousWeight(key, member.instance.member.text()),
                              member.instance.member);
    }
    std::sort(weighted.rbegin(), weighted.rend());
    std::vector<MemberId> watchers;
    for (std::size_t i = 0; i < std::min(count, weighted.size()); ++i)
        watchers.push_back(weighted[i].second);
    return watchers;
}

} // namespace Apricothook
