#include <apricothook/membership/internal/apricothook_probe_order.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr std::array Turns {Distance::DataCentre, Distance::Region, Distance::DataCentre,
                            Distance::Far, Distance::DataCentre};

/** Where to turn when a list is empty, as in a fleet of one region. */
constexpr std::array<std::array<Distance, 3>, 3> Preferences {{
    {Distance::DataCentre, Distance::Region, Distance::Far},
    {Distance::Region, Distance::DataCentre, Distance::Far},
    {Distance::Far, Distance::Region, Distance::DataCentre},
}};

const MemberUpdate *findIn(const std::vector<MemberUpdate> &live, const MemberId &member)
{
    const auto place = std::lower_bound(
        live.begin(), live.end(), member,
        [](const MemberUpdate &update, const MemberId &id) { return update.instance.member < id; });
    return place != live.end() && place->instance.member == member ? &*place : nullptr;
}

} // namespace

Distance distanceBetween(const MemberUpdate &a, const MemberUpdate &b)
{
    if (a.region != b.region)
        return Distance::Far;
    return a.dataCentre == b.dataCentre ? Distance::DataCentre : Distance::Region;
}

std::optional<MemberUpdate> ProbeOrder::next(const MemberUpdate &self,
                                             const std::vector<MemberUpdate> &live)
{
    const auto first = static_cast<std::size_t>(Turns[m_turn]);
    m_turn = (m_turn + 1) % Turns.size();
    for (const Distance distance : Preferences[first])
        if (std::optional<MemberUpdate> member = nextOf(distance, self, live))
            return member;
    return std::nullopt;
}

std::optional<MemberUpdate> ProbeOrder::nextOf(Distance distance, const MemberUpdate &self,
                                               const std::vector<MemberUpdate> &live)
{
    Ring &ring = m_rings[static_cast<std::size_t>(distance)];
    for (int round = 0; round < 2; ++round) {
        while (ring.place < ring.members.size()) {
            const MemberUpdate *member = findIn(live, ring.members[ring.place++]);
            if (member && distanceBetween(self, *member) == distance)
                return *member;
        }
        refill(ring, distance, self, live);
    }
    return std::nullopt;
}

void ProbeOrder::refill(Ring &ring, Distance distance, const MemberUpdate &self,
                        const std::vector<MemberUpdate> &live)
{
    ring = Ring {};
    for (const MemberUpdate &member : live)
        if (member.instance.member != self.instance.member
            && distanceBetween(self, member) == distance)
            ring.members.push_back(member.instance.member);
    for (std::size_t i = ring.members.size(); i > 1; --i)
        std::swap(ring.members[i - 1], ring.members[m_random.next() % i]);
}

} // namespace Apricothook
