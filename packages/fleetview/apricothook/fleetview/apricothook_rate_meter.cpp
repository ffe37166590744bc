#include <apricothook/fleetview/apricothook_rate_meter.hpp>

#include <algorithm>

namespace Apricothook {

void RateMeter::add(std::uint64_t customer, std::uint64_t units, Instant now)
{
    forgetBefore(now - Window);
    m_admitted.push_back({now, customer, units});
    Sum &sum = m_sums[customer];
    sum.units += units;
    ++sum.admissions;
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
    std::vector<CustomerRate> rates = ratesFrom(1, now);
    std::ranges::sort(rates, std::greater<>(), &CustomerRate::unitsPerSecond);
    rates.resize(std::min(rates.size(), most));
    return rates;
}

std::vector<CustomerRate> RateMeter::certainRates(Instant now)
{
    return ratesFrom(EnoughAdmissions, now);
}

std::vector<CustomerRate> RateMeter::ratesFrom(std::uint64_t admissions, Instant now)
{
    forgetBefore(now - Window);
    constexpr double WindowSeconds = std::chrono::duration<double>(Window).count();
    std::vector<CustomerRate> rates;
    for (const auto &[customer, sum] : m_sums) {
        const double perSecond = static_cast<double>(sum.units) / WindowSeconds;
        if (sum.admissions >= admissions)
            rates.push_back({customer, static_cast<std::uint64_t>(perSecond)});
    }
    return rates;
}

} // namespace Apricothook
