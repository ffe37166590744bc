#pragma once

#include <apricothook/model/apricothook_member_view.hpp>
#include <apricothook/model/apricothook_time.hpp>

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
    /** Entries in one answer: three near ones, and one of another data centre. */
    static constexpr std::size_t NearEntries = 3;
    static constexpr std::size_t OtherEntries = 1;

    Lookup(const MemberView &members, RandomSource &random);

    /** Drawn anew each time, so that callers spread. Empty only when nobody takes new work. */
    LookupAnswer answer(Duration keep);

private:
    std::vector<MemberUpdate> draw(std::vector<MemberUpdate> candidates, std::size_t count);

    const MemberView &m_members;
    RandomSource &m_random;
};

/** Until the news that a member is leaving has reached every daemon that answers lookups. */
constexpr Duration LeavingSpread = std::chrono::seconds(10);

/**
 * How long a leaving daemon goes on taking new requests: the last answer that names it is given
 * when the news has spread at the latest, and is kept from then on.
 */
Duration drainWaitFor(Duration keep);

} // namespace Apricothook
