#include <apricothook/membership/apricothook_lookup.hpp>
#include <apricothook/membership/internal/apricothook_probe_order.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace Apricothook {

namespace {

struct Candidates
{
    /** By distance: data centre, region, far. */
    std::array<std::vector<MemberUpdate>, 3> at;
};

Candidates candidatesOf(const MemberView &members)
{
    Candidates candidates;
    // A replaced process that is still running knows its successor by its own name.
    const std::optional<MemberUpdate> self = members.find(members.self().member);
    for (const MemberUpdate &member : members.live()) {
        if (member.state != MemberState::Alive)
            continue;
        const Distance distance = self ? distanceBetween(*self, member) : Distance::DataCentre;
        candidates.at[static_cast<std::size_t>(distance)].push_back(member);
    }
    return candidates;
}

double meanLoad(const std::vector<MemberUpdate> &members)
{
    double sum = 0;
    for (const MemberUpdate &member : members)
        sum += member.load;
    return members.empty() ? 0 : sum / static_cast<double>(members.size());
}

void append(std::vector<Endpoint> &entries, const std::vector<MemberUpdate> &members)
{
    for (const MemberUpdate &member : members)
        entries.push_back(member.callerAddress);
}

} // namespace

Lookup::Lookup(const MemberView &members, RandomSource &random)
    : m_members(members), m_random(random)
{
}

LookupAnswer Lookup::answer(Duration keep)
{
    constexpr std::size_t Entries = NearEntries + OtherEntries;
    Candidates candidates = candidatesOf(m_members);
    LookupAnswer answer {{}, keep};
    append(answer.entries, draw(std::move(candidates.at[0]), NearEntries));
    append(answer.entries, draw(std::move(candidates.at[1]), Entries - answer.entries.size()));
    // Across the region link only where nobody nearer takes work: it costs each call a round trip.
    if (answer.entries.empty())
        append(answer.entries, draw(std::move(candidates.at[2]), Entries));
    return answer;
}

/** Draws without replacement; the weight falls with the load. */
std::vector<MemberUpdate> Lookup::draw(std::vector<MemberUpdate> candidates, std::size_t count)
{
    // Loads are some seconds old. With weights of 1 / load every daemon would send all callers to
    // the entry that was idle then, and to the next one after that. The mean in the weight bounds
    // the ratio between an idle entry and one of the usual load to two.
    const double mean = meanLoad(candidates);
    std::vector<std::pair<double, std::size_t>> order;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        constexpr double Steps = 1ULL << 53;
        const double uniform = (static_cast<double>(m_random.next() >> 11) + 1) / Steps;
        const double weight = 1 / (1 + mean + candidates[i].load);
        order.emplace_back(-std::log(uniform) / weight, i);
    }
    std::sort(order.begin(), order.end());
    std::vector<MemberUpdate> drawn;
    for (std::size_t i = 0; i < std::min(count, order.size()); ++i)
        drawn.push_back(candidates[order[i].second]);
    return drawn;
}

Duration drainWaitFor(Duration keep)
{
    return keep + LeavingSpread;
}

} // namespace Apricothook
