#include <apricothook/dispatch/apricothook_cold_target_limiter.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace Apricothook {

std::string_view nameOf(ColdView view)
{
    switch (view) {
    case ColdView::Alone:
        return "alone";
    case ColdView::Doubtful:
        return "doubtful";
    case ColdView::Outside:
        return "outside";
    case ColdView::Main:
        break;
    }
    return "main";
}

ColdTargetLimiter::ColdTargetLimiter(std::uint64_t self, const FleetBounds &bounds)
    : m_self(self), m_bounds(bounds), m_senders {{self}, ColdView::Main}
{
}

void ColdTargetLimiter::setServices(const std::vector<ServiceRule> &services)
{
    m_rules.clear();
    for (const ServiceRule &service : services) {
        if (service.coldPerSecond <= 0)
            continue;
        const double bound = service.coldPerSecond * m_bounds.coldOvershoot + m_bounds.coldSlack;
        constexpr double Largest = std::numeric_limits<std::int32_t>::max();
        const double perDaemon = std::min({service.coldPerSecond, bound / MaximumSenders, Largest});
        m_rules[service.name] = {service.coldTime, static_cast<std::uint32_t>(perDaemon)};
    }
}

bool ColdTargetLimiter::setSenders(ColdTargetSenders senders)
{
    if (senders == m_senders)
        return false;
    m_senders = std::move(senders);
    return true;
}

std::uint32_t ColdTargetLimiter::rankOf(std::uint64_t target) const
{
    const auto weight = [target](std::uint64_t member) {
        return std::pair(rendezvousWeight(target, member), member);
    };
    return static_cast<std::uint32_t>(std::ranges::count_if(
        m_senders.members, [&](std::uint64_t member) { return weight(member) > weight(m_self); }));
}

std::uint32_t ColdTargetLimiter::sendsPerSecond(const ServiceId &service, std::uint64_t target,
                                                bool isCold) const
{
    const Rule *rule = ruleOf(service);
    if (!rule || (!isCold && !treatsAllAsCold()))
        return Unlimited;
    switch (m_senders.view) {
    case ColdView::Alone:
    case ColdView::Outside:
        return 0;
    case ColdView::Doubtful:
        return rankOf(target) < rule->sendsPerSecond ? 1 : 0;
    case ColdView::Main:
        break;
    }
    return rankOf(target) == 0 ? rule->sendsPerSecond : 0;
}

const ColdTargetLimiter::Rule *ColdTargetLimiter::ruleOf(const ServiceId &service) const
{
    const auto found = m_rules.find(service);
    return found == m_rules.end() ? nullptr : &found->second;
}

Duration ColdTargetLimiter::coldTime(const ServiceId &service) const
{
    const Rule *rule = ruleOf(service);
    return rule ? rule->coldTime : Duration::zero();
}

bool ColdTargetLimiter::isLimited(const ServiceId &service) const
{
    return ruleOf(service) != nullptr;
}

} // namespace Apricothook
