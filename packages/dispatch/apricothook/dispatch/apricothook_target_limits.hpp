#pragma once

#include <apricothook/dispatch/apricothook_limit_messages.hpp>
#include <apricothook/dispatch/apricothook_unit_budget.hpp>
#include <apricothook/model/apricothook_time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace Apricothook {

/** How a report changed what this daemon knows of a target's limit. */
enum class TargetLimitChange {
    None,
    Learned,
    Changed,
    Ended, ///< The target no longer names a limit.
};

std::string_view nameOf(TargetLimitChange change);

/** What a target's answer tells about its limit. */
struct TargetLimitReport
{
    std::uint64_t target = 0; ///< targetHash() of the instance.
    /** Requests per second that the target takes from all daemons; empty if it names no limit. */
    std::optional<double> perSecond;
    /** When the request was sent that the target answered. */
    Instant sent {};
    Instant received {};

    auto operator<=>(const TargetLimitReport &) const = default;
};

/** A target's limit as known to this daemon. */
struct TargetLimit
{
    /**
     * Requests per second, in thousandths; empty if the target ended its limit, which is remembered
     * for a while so that older reports don't bring it back.
     */
    std::optional<std::uint64_t> thousandthsPerSecond;
    /** Time as of which the target is known to have named it. */
    Instant observed {};
    /** When a daemon last told it to all others. */
    Instant announced {};

    std::optional<double> perSecond() const;
    auto operator<=>(const TargetLimit &) const = default;
};

/**
 * The limits that targets name in their answers, from this daemon's answers and from other daemons.
 *
 * Answers may overtake each other on their way. A lower limit applies as soon as an answer names
 * it, a higher one or none only if the request was sent after the present one had last been named.
 * Between daemons the later observation counts.
 *
 * Only a daemon that got an answer announces it, and no daemon passes announcements on, so the age
 * of an observation isn't renewed by messages that go round.
 */
class TargetLimits
{
public:
    /** Interval at which the daemons together announce a limit that doesn't change. */
    static constexpr std::chrono::seconds AnnouncementInterval {1};
    /** Longer than any report of a limit is in transit. */
    static constexpr std::chrono::seconds EndedLimitTime {10};
    /** Time for which reports of unknown targets are kept: their entries may be late. */
    static constexpr std::chrono::seconds UnknownTargetTime {60};

    TargetLimitChange observe(const TargetLimitReport &report);
    TargetLimitChange take(const TargetLimitNotice &notice, Instant now);
    /** Null if the target is known to have no limit, or nothing is known. */
    const TargetLimit *find(std::uint64_t target) const;
    /** Requests per second; empty without a limit. */
    std::optional<double> perSecond(std::uint64_t target) const;
    /** Whether this daemon, which has just got an answer, should announce the target's limit. */
    bool isAnnouncementDue(std::uint64_t target, TargetLimitChange change, Instant now) const;
    void recordAnnouncement(std::uint64_t target, Instant now);
    /** Whether this daemon has a later, different observation than the sender of the notice. */
    bool contradicts(const TargetLimitNotice &notice, Instant now) const;
    /** What this daemon knows, without a sender; empty if it knows nothing. */
    std::optional<TargetLimitNotice> notice(std::uint64_t target, Instant now) const;
    /** Budgets of the targets with a limit, by targetHash(). */
    UnitBudgets budgets(const FleetBounds &bounds) const;
    /** The same if the limits are those of rejections, by rejectionLimitHash(). */
    UnitBudgets rejectionBudgets() const;
    /** Targets whose limits no answer has named for this time. */
    std::vector<std::uint64_t> unconfirmed(Duration age, Instant now) const;
    /** Forgets ended limits, and those of targets that aren't known for long. */
    void review(const std::function<bool(std::uint64_t target)> &isKnown, Instant now);

private:
    TargetLimitChange apply(std::uint64_t target, std::optional<std::uint64_t> thousandths,
                            Instant observed);

    std::map<std::uint64_t, TargetLimit> m_limits;
};

} // namespace Apricothook
