#include <apricothook/fleetview/apricothook_rate_meter.hpp>

#include <algorithm>

namespace Apricothook {

void RateMeter::add(std::uint64_t customer, std::uint64_t units, Instant now)
{
    forgetBefore(now - Window);
    m_admitted.push_back({now, customer, units});
    m_sums[customer] += units;
}

void RateMeter::forgetBefore(Instant start)
{
    while (!m_admitted.empty() && m_admitted.front().at < start) {
        const Admitted &oldest = m_admitted.front();
        const auto sum = m_sums.find(oldest.customer);
        sum->second -= oldest.units;
        if (sum->second == 0)
            m_sums.erase(sum);
        m_admitted.pop_front();
    }
}

std::vector<CustomerRate> RateMeter::rates(std::size_t most, Instant now)
{
    forgetBefore(now - Window);
    constexpr double WindowSeconds = std::chrono::duration<double>(Window).count();
    std::vector<CustomerRate> rates;
    for (const auto &[customer, units] : m_sums)
        rates.push_back(
            {customer, static_cast<std::uint64_t>(static_cast<double>(units) / WindowSeconds)});
    std::ranges::sort(rates, std::greater<>(), &CustomerRate::unitsPerSecond);
    rates.resize(std::min(rates.size(), most));
    return rates;
}

} // namespace Apricothook
