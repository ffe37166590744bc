#include <apricothook/homes/apricothook_customer_limiter.hpp>

#include <apricothook/homes/internal/apricothook_fair_shares.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

// A share of just the demand measured would refuse the next request that comes a little early.
constexpr double DemandHeadroom = 1.1;

} // namespace

CustomerLimitTable limitsOf(const FleetText &text)
{
    CustomerLimitTable table;
    for (const Customer &customer : text.customers) {
        const double burst = std::max(1.0, static_cast<double>(customer.burst));
        table[customer.id] = {customer.requestsPerSecond, burst};
    }
    return table;
}

CustomerLimiter::CustomerLimiter(LimitTimes times) : m_times(times) { }

void CustomerLimiter::handle(const MemberId &from, const LimitDemand &demand, double limit,
                             Instant now, Outbox &out)
{
    if (demand.over <= Duration::zero())
        return;
    Entries &entries = m_entries[demand.customer];
    dropOld(entries, now);
    const double seconds = std::chrono::duration<double>(demand.over).count();
    entries[from].requestsPerSecond = DemandHeadroom * demand.arrived / seconds;
    const Duration lease = m_times.periodsPerLease * periodFor(entries.size());
    entries[from].until = now + lease;

    std::vector<double> demands;
    std::size_t place = 0;
    for (const auto &[member, entry] : entries) {
        if (member == from)
            place = demands.size();
        demands.push_back(entry.requestsPerSecond);
    }
    const double share = fairShares(demands, limit)[place];
    out.push_back({from, LimitShare {demand.customer, share, lease}});
}

void CustomerLimiter::dropOld(Entries &entries, Instant now)
{
    std::erase_if(entries, [now](const auto &entry) { return entry.second.until <= now; });
}

Duration CustomerLimiter::periodFor(std::size_t entries) const
{
    const std::chrono::duration<double> needed(static_cast<double>(entries)
                                               / m_times.demandsPerSecond);
    return std::max(m_times.shortestPeriod, std::chrono::duration_cast<Duration>(needed));
}

void CustomerLimiter::expire(Instant now)
{
    for (auto &[customer, entries] : m_entries)
        dropOld(entries, now);
    std::erase_if(m_entries, [](const auto &customer) { return customer.second.empty(); });
}

} // namespace Apricothook
