#pragma once

#include <apricothook/model/apricothook_member_view.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <cstddef>
#include <optional>
#include <set>

namespace Apricothook {

struct FreshnessLimits
{
    /** Members asked at a time, and how many of them must answer; messages get lost. */
    std::size_t asked = 5;
    std::size_t needed = 3;
    /** How long a confirmation holds, counted from when the question was sent. */
    Duration holds = std::chrono::seconds(2);
    Duration askAgain = std::chrono::milliseconds(500);
    auto operator<=>(const FreshnessLimits &) const = default;
};

/**
 * Confirms with other members that no higher generation is in force. Some engines take any order; a
 * process that was paused and wakes with an old order would undo the newer setup there. Counting
 * from when the question was sent, not from the answers, makes a pause in between count as age.
 */
class FreshnessCheck
{
public:
    explicit FreshnessCheck(FreshnessLimits limits = {}) : m_limits(limits) { }

    /** Asks when no question is open; `own` is the generation that is to be confirmed. */
    void ask(Generation own, const MemberView &members, Instant now, RandomSource &random,
             Outbox &outbox);
    void replied(const MemberId &from, const DigestReply &reply);
    /** Until when `own` may be acted on; nothing while it isn't confirmed. */
    std::optional<Instant> freshUntil(Generation own, Instant now) const;

private:
    FreshnessLimits m_limits;
    Generation m_own;
    std::uint64_t m_sequence = 0;
    std::optional<Instant> m_askedAt;
    std::size_t m_needed = 0;
    std::set<MemberId> m_asked;
    std::set<MemberId> m_answered;
    Generation m_highest;
};

} // namespace Apricothook
