#include <apricothook/homes/internal/apricothook_home_table.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <limits>

namespace Apricothook {

namespace {

constexpr std::uint16_t Free = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t StepSeed = 1;

/** The order in which one member takes places: from `next` on, by steps that reach them all. */
struct Preference
{
    std::size_t next = 0;
    std::size_t step = 1;
};

Preference preferenceOf(const MemberId &member)
{
    return {hashOf(member.text()) % HomeTable::Places,
            1 + hashOf(member.text(), StepSeed) % (HomeTable::Places - 1)};
}

} // namespace

HomeTable::HomeTable(std::vector<MemberId> members) : m_members(std::move(members))
{
    std::sort(m_members.begin(), m_members.end());
    if (!m_members.empty())
        fill();
}

void HomeTable::fill()
{
    std::vector<Preference> preferences;
    for (const MemberId &member : m_members)
        preferences.push_back(preferenceOf(member));
    m_places.assign(Places, Free);
    for (std::size_t taken = 0; taken < Places; ++taken) {
        const std::size_t turn = taken % m_members.size();
        Preference &preference = preferences[turn];
        while (m_places[preference.next] != Free)
            preference.next = (preference.next + preference.step) % Places;
        m_places[preference.next] = static_cast<std::uint16_t>(turn);
    }
}

const MemberId &HomeTable::homeOf(const RequestKey &key) const
{
    return m_members[m_places[hashOf(key.text()) % Places]];
}

} // namespace Apricothook
