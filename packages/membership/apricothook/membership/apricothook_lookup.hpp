#pragma once

#include <apricothook/model/apricothook_member_view.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <array>
#include <optional>
#include <vector>

namespace Apricothook {

/** Entries that a caller may use, best first. */
struct LookupAnswer
{
    std::vector<Endpoint> entries;
    /** How long the caller may keep the answer. */
    Duration keep {};
    auto operator<=>(const LookupAnswer &) const = default;
};

/** Answers which entries callers should use, from the members as this daemon sees them. */
class Lookup
{
public:
    /** Entries in one answer: three near ones, this daemon among them, and one of another data
     * centre. */
    static constexpr std::size_t NearEntries = 3;
    static constexpr std::size_t OtherEntries = 1;
    /** Candidates whose loads are compared for one draw, whatever the size of the fleet. */
    static constexpr std::size_t SampleSize = 12;

    Lookup(const MemberView &members, RandomSource &random);

    /**
     * This daemon first, as the answer's ticket makes it the home of the caller's keys: where entry
     * and home are one, a grant costs no message and no other daemon's death can hold it up. Then
     * others, drawn anew each time, so that callers spread. Empty only when nobody takes new work.
     */
    LookupAnswer answer(Duration keep);

private:
    /** Places in live(). */
    using Places = std::vector<std::size_t>;

    /** This daemon, unless it leaves, was replaced, or has clearly more work than those near it. */
    std::optional<MemberUpdate> selfIfFree();
    void refresh();
    /** Draws until there are `count` entries; the weight falls with the load. */
    void draw(const Places &candidates, std::size_t count, std::vector<Endpoint> &entries);
    Places sample(const Places &candidates);

    const MemberView &m_members;
    RandomSource &m_random;
    /** Who takes new work, by distance, in the view of this version. */
    std::array<Places, 3> m_candidates;
    std::optional<std::uint64_t> m_version;
};

/** Until the news that a member is leaving has reached every daemon that answers lookups. */
constexpr Duration LeavingSpread = std::chrono::seconds(10);

/**
 * How long a leaving daemon goes on taking new requests: the last answer that names it is given
 * when the news has spread at the latest, and is kept from then on.
 */
Duration drainWaitFor(Duration keep);

} // namespace Apricothook
