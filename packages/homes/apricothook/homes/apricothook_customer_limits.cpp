#include <apricothook/homes/apricothook_customer_limits.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

/** An entry forgets a customer, and with it its full bucket, after this long without a request. */
constexpr Duration IdleTime = std::chrono::seconds(60);
constexpr Duration LongestRetryAfter = std::chrono::seconds(60);
/** The first report covers less than a period; a shorter span would overrate the demand. */
constexpr Duration ShortestSpan = std::chrono::milliseconds(100);

Duration secondsOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

CustomerLimits::CustomerLimits(const MemberView &members, LimitTimes times)
    : m_members(members), m_times(times), m_limiter(times)
{
}

void CustomerLimits::setLimits(CustomerLimitTable limits)
{
    m_limits = std::move(limits);
    std::erase_if(m_active, [this](const auto &entry) { return !m_limits.contains(entry.first); });
}

double CustomerLimits::equalPart(const CustomerLimit &limit) const
{
    const std::size_t members = std::max<std::size_t>(1, m_members.live().size());
    return limit.requestsPerSecond * m_members.visibleShare() / static_cast<double>(members);
}

double CustomerLimits::burstFor(const CustomerLimit &limit, double share)
{
    return std::max(1.0, limit.burst * share / limit.requestsPerSecond);
}

CustomerLimits::Active &CustomerLimits::activeOf(const CustomerId &customer,
                                                 const CustomerLimit &limit, Instant now)
{
    const double part = equalPart(limit);
    const auto [entry, isNew]
        = m_active.try_emplace(customer, Active {TokenBucket(burstFor(limit, part), now), part});
    Active &active = entry->second;
    if (isNew) {
        active.period = m_times.shortestPeriod;
        active.reportedAt = now;
    }
    active.lastSeen = now;
    return active;
}

void CustomerLimits::lapse(Active &active, const CustomerLimit &limit, Instant now) const
{
    // A limiter that died or is cut off gives no shares. Keeping the last one would let every side
    // of a split spend all of the limit; the equal parts of all live members never exceed it.
    if (active.shareUntil <= now)
        active.requestsPerSecond = equalPart(limit);
}

Result<Admitted, Limited> CustomerLimits::admit(const CustomerId &customer, Instant now)
{
    const auto limit = m_limits.find(customer);
    if (limit == m_limits.end() || limit->second.requestsPerSecond <= 0)
        return Admitted {};
    Active &active = activeOf(customer, limit->second, now);
    ++active.arrived;
    lapse(active, limit->second, now);
    const double rate = active.requestsPerSecond;
    active.bucket.fill(rate, burstFor(limit->second, rate), now);
    if (active.bucket.take())
        return Admitted {};
    return Limited {
        std::min(LongestRetryAfter, secondsOf(active.bucket.missing() / std::max(rate, 1e-9)))};
}

void CustomerLimits::tick(Instant now, Outbox &out)
{
    std::erase_if(m_active,
                  [now](const auto &entry) { return entry.second.lastSeen + IdleTime <= now; });
    for (auto &[customer, active] : m_active) {
        const Duration span = now - active.reportedAt;
        // The first report goes at once: until its answer this entry has only an equal part.
        const bool isDue = active.wasReported ? span >= active.period : span >= ShortestSpan;
        // A customer without requests since the last report lets its share lapse to the others.
        if (!isDue || active.arrived == 0)
            continue;
        out.push_back({limiterOf(customer), LimitDemand {customer, active.arrived, span}});
        active.arrived = 0;
        active.reportedAt = now;
        active.wasReported = true;
    }
    if (m_expiredAt + IdleTime <= now) {
        m_limiter.expire(now);
        m_expiredAt = now;
    }
}

void CustomerLimits::handle(const MemberId &from, const LimitDemand &demand, Instant now,
                            Outbox &out)
{
    const auto limit = m_limits.find(demand.customer);
    if (limit == m_limits.end())
        return;
    // In a split each side has a limiter. If each gave out all of the limit, the customer would get
    // twice its limit; so each gives out its side's part.
    const double part = limit->second.requestsPerSecond * m_members.visibleShare();
    m_limiter.handle(from, demand, part, now, out);
}

void CustomerLimits::handle(const MemberId &from, const LimitShare &share, Instant now)
{
    const auto active = m_active.find(share.customer);
    // An old limiter that another has followed would add its shares to the new one's.
    if (active == m_active.end() || from != limiterOf(share.customer))
        return;
    active->second.requestsPerSecond = share.requestsPerSecond;
    active->second.shareUntil = now + share.lease;
    active->second.period = share.lease / m_times.periodsPerLease;
}

MemberId CustomerLimits::limiterOf(const CustomerId &customer) const
{
    MemberId best = m_members.self().member;
    std::uint64_t bestWeight = 0;
    for (const MemberUpdate &member : m_members.live()) {
        const std::uint64_t weight
            = rendezvousWeight(customer.text(), member.instance.member.text());
        if (weight >= bestWeight) {
            best = member.instance.member;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace Apricothook
