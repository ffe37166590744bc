#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>
#include <apricothook/model/apricothook_member_view.hpp>
#include <apricothook/model/apricothook_peer_message.hpp>

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <vector>

namespace Apricothook {

/**
 * The members that may hold a hint of a key's run, the one that is told first in front. They lie
 * outside the data centre of `near` where that can be, as what kills an entry may kill its data
 * centre; `near` itself is never among them. At most two: views of members differ by one at a time.
 */
std::vector<MemberId> witnessesOf(const RequestKey &key, const RosterEntry &near,
                                  const MemberView &members);

/** Hints that this daemon keeps for others. Losing them loses an answer, never a promise. */
class RunHints
{
public:
    static constexpr std::size_t MaximumHints = 20'000;

    /** The oldest goes when there is no room. */
    void keep(const RunHint &hint, Instant now);
    /** Tells nothing of a key with another fingerprint: its stream isn't the asker's. */
    HintReply answer(const HintQuery &query, Instant now) const;
    std::size_t size() const { return m_hints.size(); }

private:
    struct Kept
    {
        RunHint hint;
        Instant until {};
    };

    void expire(Instant now);

    std::unordered_map<RequestKey, Kept> m_hints;
    std::deque<RequestKey> m_order;
};

} // namespace Apricothook
