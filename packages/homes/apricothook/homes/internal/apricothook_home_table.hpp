#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Apricothook {

/**
 * Says which member is the home of a key, at a cost that doesn't grow with the members: a table of
 * places that the members fill in turn, each by a preference of its own (after D. Eisenbud et al.,
 * "Maglev", 2016). Shares differ by one place; when a member comes or goes, few others' keys move.
 * The same members give the same table in every process.
 */
class HomeTable
{
public:
    /** Prime, so that every step goes through all places; 100 places each at 160 members. */
    static constexpr std::size_t Places = 16381;

    HomeTable() = default;
    /** At most 65,535 members, in any order, none twice. */
    explicit HomeTable(std::vector<MemberId> members);

    bool isEmpty() const { return m_members.empty(); }
    /** Only where there is a member. */
    const MemberId &homeOf(const RequestKey &key) const;
    const std::vector<MemberId> &members() const { return m_members; }

private:
    void fill();

    /** Ordered. */
    std::vector<MemberId> m_members;
    std::vector<std::uint16_t> m_places;
};

} // namespace Apricothook
