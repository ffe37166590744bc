#include <apricothook/membership/apricothook_lookup.hpp>
#include <apricothook/membership/internal/apricothook_probe_order.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Apricothook {

namespace {

// A daemon with more work than this, beside the mean of its data centre, sends callers elsewhere.
constexpr double UsualLoad = 8;
constexpr double UsualRatio = 1.5;

} // namespace

Lookup::Lookup(const MemberView &members, RandomSource &random)
    : m_members(members), m_random(random)
{
}

LookupAnswer Lookup::answer(Duration keep)
{
    constexpr std::size_t Entries = NearEntries + OtherEntries;
    refresh();
    LookupAnswer answer {{}, keep};
    if (const std::optional<MemberUpdate> self = selfIfFree())
        answer.entries.push_back(self->callerAddress);
    draw(m_candidates[0], NearEntries, answer.entries);
    draw(m_candidates[1], Entries, answer.entries);
    // Across the region link only where nobody nearer takes work: it costs each call a round trip.
    if (answer.entries.empty())
        draw(m_candidates[2], Entries, answer.entries);
    return answer;
}

std::optional<MemberUpdate> Lookup::selfIfFree()
{
    const std::optional<MemberUpdate> self = m_members.find(m_members.self().member);
    if (!self || self->instance != m_members.self() || self->state != MemberState::Alive)
        return std::nullopt;
    double mean = 0;
    const Places near = sample(m_candidates[0]);
    for (const std::size_t place : near)
        mean
            += static_cast<double>(m_members.live()[place].load) / static_cast<double>(near.size());
    const bool isFree = self->load <= UsualLoad + mean * UsualRatio;
    return isFree ? self : std::nullopt;
}

void Lookup::refresh()
{
    if (m_version == m_members.version())
        return;
    m_version = m_members.version();
    for (Places &places : m_candidates)
        places.clear();
    // A replaced process that is still running knows its successor by its own name.
    const std::optional<MemberUpdate> self = m_members.find(m_members.self().member);
    const std::vector<MemberUpdate> &live = m_members.live();
    for (std::size_t place = 0; place < live.size(); ++place) {
        if (live[place].state != MemberState::Alive)
            continue;
        const Distance distance = self ? distanceBetween(*self, live[place]) : Distance::DataCentre;
        m_candidates[static_cast<std::size_t>(distance)].push_back(place);
    }
}

Lookup::Places Lookup::sample(const Places &candidates)
{
    if (candidates.size() <= SampleSize)
        return candidates;
    Places drawn;
    while (drawn.size() < SampleSize) {
        const std::size_t place = candidates[m_random.next() % candidates.size()];
        if (std::find(drawn.begin(), drawn.end(), place) == drawn.end())
            drawn.push_back(place);
    }
    return drawn;
}

void Lookup::draw(const Places &candidates, std::size_t count, std::vector<Endpoint> &entries)
{
    const std::vector<MemberUpdate> &live = m_members.live();
    const Places places = sample(candidates);
    double mean = 0;
    for (const std::size_t place : places)
        mean += static_cast<double>(live[place].load) / static_cast<double>(places.size());
    // Loads are some seconds old. With weights of 1 / load every daemon would send all callers to
    // the entry that was idle then, and to the next one after that. The mean in the weight bounds
    // the ratio between an idle entry and one of the usual load to two.
    std::vector<std::pair<double, std::size_t>> order;
    for (const std::size_t place : places) {
        constexpr double Steps = 1ULL << 53;
        const double uniform = (static_cast<double>(m_random.next() >> 11) + 1) / Steps;
        const double weight = 1 / (1 + mean + live[place].load);
        order.emplace_back(-std::log(uniform) / weight, place);
    }
    std::sort(order.begin(), order.end());
    const std::size_t wanted = std::max(count, entries.size());
    for (std::size_t i = 0; i < order.size() && entries.size() < wanted; ++i) {
        const Endpoint &address = live[order[i].second].callerAddress;
        if (std::find(entries.begin(), entries.end(), address) == entries.end())
            entries.push_back(address);
    }
}

Duration drainWaitFor(Duration keep)
{
    return keep + LeavingSpread;
}

} // namespace Apricothook
