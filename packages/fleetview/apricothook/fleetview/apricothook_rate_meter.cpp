#include <apricothook/fleetview/apricothook_rate_meter.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

void RateMeter::add(std::uint64_t customer, std::uint64_t units, Instant now)
{
    forgetBefore(now - Window);
    m_admitted.push_back({now, customer, units});
    Sum &sum = m_sums[customer];
    sum.units += units;
    ++sum.admissions;
    sum.fresh += units;
}

void RateMeter::forgetBefore(Instant start)
{
    while (!m_admitted.empty() && m_admitted.front().at < start) {
        const Admitted &oldest = m_admitted.front();
        const auto sum = m_sums.find(oldest.customer);
        sum->second.units -= oldest.units;
        if (--sum->second.admissions == 0)
            m_sums.erase(sum);
        m_admitted.pop_front();
    }
}

std::vector<CustomerRate> RateMeter::rates(std::size_t most, Instant now)
{
    forgetBefore(now - Window);
    constexpr double WindowSeconds = std::chrono::duration<double>(Window).count();
    std::vector<CustomerRate> rates;
    for (const auto &[customer, sum] : m_sums) {
        const double perSecond = static_cast<double>(sum.units) / WindowSeconds;
        rates.push_back({customer, static_cast<std::uint64_t>(perSecond)});
    }
    std::ranges::sort(rates, std::greater<>(), &CustomerRate::unitsPerSecond);
    rates.resize(std::min(rates.size(), most));
    return rates;
}

std::vector<RecentUse> RateMeter::takeRecent(Instant now)
{
    forgetBefore(now - Window);
    std::vector<RecentUse> recent;
    for (auto &[customer, sum] : m_sums) {
        if (sum.admissions >= EnoughAdmissions)
            recent.push_back({customer, sum.units, std::exchange(sum.fresh, 0)});
    }
    return recent;
}

} // namespace Apricothook
