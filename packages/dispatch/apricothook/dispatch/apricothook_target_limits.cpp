#include <apricothook/dispatch/apricothook_target_limits.hpp>

#include <apricothook/dispatch/apricothook_target_table.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace Apricothook {

namespace {

constexpr double Thousandths = 1000;

std::optional<std::uint64_t> thousandthsOf(std::optional<double> perSecond)
{
    if (!perSecond)
        return std::nullopt;
    return static_cast<std::uint64_t>(std::lround(*perSecond * Thousandths));
}

std::optional<std::uint64_t> thousandthsOf(const TargetLimitNotice &notice)
{
    return notice.isLimited ? std::optional(notice.thousandthsPerSecond) : std::nullopt;
}

/** No limit is higher than any. */
bool isHigher(std::optional<std::uint64_t> one, std::optional<std::uint64_t> other)
{
    return other && (!one || *one > *other);
}

Instant observationTime(const TargetLimitNotice &notice, Instant now)
{
    return now - std::chrono::milliseconds(notice.ageMs);
}

} // namespace

std::string_view nameOf(TargetLimitChange change)
{
    switch (change) {
    case TargetLimitChange::Learned:
        return "learned";
    case TargetLimitChange::Changed:
        return "changed";
    case TargetLimitChange::Ended:
        return "ended";
    case TargetLimitChange::None:
        break;
    }
    return "none";
}

std::optional<double> TargetLimit::perSecond() const
{
    if (!thousandthsPerSecond)
        return std::nullopt;
    return static_cast<double>(*thousandthsPerSecond) / Thousandths;
}

TargetLimitChange TargetLimits::apply(std::uint64_t target,
                                      std::optional<std::uint64_t> thousandths, Instant observed)
{
    const auto known = m_limits.find(target);
    if (known == m_limits.end()) {
        if (!thousandths)
            return TargetLimitChange::None;
        m_limits.emplace(target, TargetLimit {thousandths, observed, {}});
        return TargetLimitChange::Learned;
    }
    TargetLimit &limit = known->second;
    // Further answers without a limit don't keep the memory of an ended one.
    const bool isStillEnded = !thousandths && !limit.thousandthsPerSecond;
    if (observed <= limit.observed || isStillEnded)
        return TargetLimitChange::None;
    limit.observed = observed;
    const std::optional<std::uint64_t> before
        = std::exchange(limit.thousandthsPerSecond, thousandths);
    if (before == thousandths)
        return TargetLimitChange::None;
    if (!thousandths)
        return TargetLimitChange::Ended;
    return before ? TargetLimitChange::Changed : TargetLimitChange::Learned;
}

TargetLimitChange TargetLimits::observe(const TargetLimitReport &report)
{
    const std::optional<std::uint64_t> named = thousandthsOf(report.perSecond);
    const TargetLimit *known = find(report.target);
    const bool isRaised = known && isHigher(named, known->thousandthsPerSecond);
    return apply(report.target, named, isRaised ? report.sent : report.received);
}

TargetLimitChange TargetLimits::take(const TargetLimitNotice &notice, Instant now)
{
    const std::optional<std::uint64_t> named = thousandthsOf(notice);
    const TargetLimitChange change = apply(notice.target, named, observationTime(notice, now));
    const TargetLimit *known = find(notice.target);
    if (notice.isAnnouncement && known && known->thousandthsPerSecond == named)
        recordAnnouncement(notice.target, now);
    return change;
}

const TargetLimit *TargetLimits::find(std::uint64_t target) const
{
    const auto known = m_limits.find(target);
    return known == m_limits.end() ? nullptr : &known->second;
}

std::optional<double> TargetLimits::perSecond(std::uint64_t target) const
{
    const TargetLimit *known = find(target);
    return known ? known->perSecond() : std::nullopt;
}

bool TargetLimits::isAnnouncementDue(std::uint64_t target, TargetLimitChange change,
                                     Instant now) const
{
    const TargetLimit *known = find(target);
    return known
        && (change != TargetLimitChange::None || now - known->announced >= AnnouncementInterval);
}

void TargetLimits::recordAnnouncement(std::uint64_t target, Instant now)
{
    if (const auto known = m_limits.find(target); known != m_limits.end())
        known->second.announced = now;
}

bool TargetLimits::contradicts(const TargetLimitNotice &notice, Instant now) const
{
    const TargetLimit *known = find(notice.target);
    return known && known->thousandthsPerSecond != thousandthsOf(notice)
        && known->observed > observationTime(notice, now);
}

std::optional<TargetLimitNotice> TargetLimits::notice(std::uint64_t target, Instant now) const
{
    const TargetLimit *known = find(target);
    if (!known)
        return std::nullopt;
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - known->observed).count();
    constexpr std::int64_t LargestAge = std::numeric_limits<std::uint32_t>::max();
    TargetLimitNotice notice;
    notice.target = target;
    notice.isLimited = known->thousandthsPerSecond.has_value();
    notice.thousandthsPerSecond = known->thousandthsPerSecond.value_or(0);
    notice.ageMs = static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, LargestAge));
    return notice;
}

UnitBudgets TargetLimits::budgets(const FleetBounds &bounds) const
{
    UnitBudgets budgets;
    for (const auto &[target, limit] : m_limits) {
        if (const std::optional<double> perSecond = limit.perSecond())
            budgets.emplace(target, targetBudget(*perSecond, bounds));
    }
    return budgets;
}

UnitBudgets TargetLimits::rejectionBudgets() const
{
    UnitBudgets budgets;
    for (const auto &[target, limit] : m_limits) {
        if (const std::optional<double> perSecond = limit.perSecond())
            budgets.emplace(rejectionLimitHash(target), rejectionBudget(*perSecond));
    }
    return budgets;
}

std::vector<std::uint64_t> TargetLimits::unconfirmed(Duration age, Instant now) const
{
    std::vector<std::uint64_t> targets;
    for (const auto &[target, limit] : m_limits) {
        if (limit.thousandthsPerSecond && now - limit.observed > age)
            targets.push_back(target);
    }
    return targets;
}

void TargetLimits::review(const std::function<bool(std::uint64_t target)> &isKnown, Instant now)
{
    std::erase_if(m_limits, [&](const auto &entry) {
        const Duration age = now - entry.second.observed;
        if (!entry.second.thousandthsPerSecond)
            return age > EndedLimitTime;
        return age > UnknownTargetTime && !isKnown(entry.first);
    });
}

} // namespace Apricothook
